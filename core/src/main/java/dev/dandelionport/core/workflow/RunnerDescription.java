package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import java.util.List;

/**
 * Description of a runner.
 *
 * @param id id of the runner
 * @param incarnation start of this incarnation, milliseconds since 1970
 * @param service service, the pool that it belongs to
 * @param address host and port at which it is called
 * @param failureDomain failure domain it is in
 * @param capacity resources that it offers
 * @param labels labels that steps can require; the last one is its rack
 * @param draining whether it is draining and gets no new runs
 */
public record RunnerDescription(
    String id,
    long incarnation,
    String service,
    String address,
    String failureDomain,
    ResourceVector capacity,
    List<String> labels,
    boolean draining) {

  /** Copies the list. */
  public RunnerDescription {
    labels = List.copyOf(labels);
  }

  /** Returns the description of an incarnation whose entry is not known: it offers nothing. */
  static RunnerDescription unknown(String id, long incarnation) {
    return new RunnerDescription(
        id, incarnation, "", "", "", ResourceVector.ZERO, List.of(), false);
  }
}
