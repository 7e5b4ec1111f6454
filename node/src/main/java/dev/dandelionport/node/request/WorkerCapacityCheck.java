package dev.dandelionport.node.request;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Checks whether a task fits on at least one worker, so that a job that can never start is rejected
 * at submission.
 */
final class WorkerCapacityCheck {

  private record Dimension(String field, ToLongFunction<ResourceVector> value) {}

  private static final List<Dimension> DIMENSIONS =
      List.of(
          new Dimension("milliCores", ResourceVector::milliCores),
          new Dimension("memoryMb", ResourceVector::memoryMb),
          new Dimension("accelerators", ResourceVector::accelerators),
          new Dimension("connections", ResourceVector::connections));

  private WorkerCapacityCheck() {}

  /**
   * Returns the error for a task that exceeds the capacity of every worker. Returns empty if the
   * task fits on an idle worker, or if no worker is known.
   */
  static Optional<RequestException> findViolation(
      ResourceVector task, Collection<WorkerInfo> workers) {
    Set<ResourceVector> sizes = new LinkedHashSet<>();
    for (WorkerInfo w : workers) {
      if (sizes.add(w.capacity()) && task.fitsIn(w.capacity())) {
        return Optional.empty();
      }
    }
    if (sizes.isEmpty()) {
      return Optional.empty();
    }
    for (Dimension d : DIMENSIONS) {
      long max = sizes.stream().mapToLong(d.value()).max().orElse(0);
      if (d.value().applyAsLong(task) > max) {
        String rule = d.field() + " must be at most " + max + ", the most that a worker offers";
        return Optional.of(
            RequestException.invalid(d.field(), rule + "; found " + d.value().applyAsLong(task)));
      }
    }
    return Optional.of(
        RequestException.invalid("", "no worker offers this combination of resources"));
  }
}
