package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import java.util.List;

/**
 * A runner as it describes itself.
 *
 * @param id name
 * @param incarnation start of this life, milliseconds since 1970; 0 if not stated
 * @param service pool that it belongs to
 * @param address host and port of its interface
 * @param failureDomain failure domain it is in
 * @param capacity what it offers
 * @param labels its kind and its rack
 * @param draining whether it is about to leave
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
}
