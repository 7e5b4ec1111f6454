package dev.dandelionport.core.workflow;

import java.util.List;

/**
 * Asks which of some runners may run a step.
 *
 * @param step the step
 * @param runners names of the runners
 * @param costMillis time that the call is expected to take
 */
public record AdviceRequest(StepKey step, List<String> runners, double costMillis) {
  /** Copies the list. */
  public AdviceRequest {
    runners = List.copyOf(runners);
  }
}
