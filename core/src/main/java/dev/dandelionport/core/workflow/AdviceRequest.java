package dev.dandelionport.core.workflow;

import java.util.List;

/**
 * A call to the advice service: which of the named runners may run a step.
 *
 * @param step step that needs advice
 * @param runners ids of the runners
 * @param costMillis expected duration of the call
 */
public record AdviceRequest(StepKey step, List<String> runners, double costMillis) {
  /** Copies the list. */
  public AdviceRequest {
    runners = List.copyOf(runners);
  }
}
