package dev.dandelionport.core.admission;

import dev.dandelionport.core.common.ResourceVector;
import java.util.List;
import java.util.Optional;

/**
 * Decides whether a step could ever run, for submissions that would otherwise wait until they are
 * of no use, whatever the load is.
 */
public final class Feasibility {

  /** The capacity and the labels of a runner. */
  public record RunnerKind(ResourceVector capacity, List<String> labels) {
    /** Copies the list. */
    public RunnerKind {
      labels = List.copyOf(labels);
    }
  }

  private Feasibility() {}

  /**
   * Returns why a step could never run, or empty; empty also if no runner is known, because then
   * the pool is not known yet.
   *
   * @param quota quota of the account; 0 in a component means no limit
   */
  public static Optional<RefusalReason> reasonNever(
      Requirement r, Iterable<RunnerKind> runners, ResourceVector quota) {
    int needed = r.gang() ? r.tasks() : 1;
    if (r.size().countFittingIn(limits(quota)) < needed) {
      return Optional.of(RefusalReason.QUOTA_TOO_SMALL);
    }
    boolean anyRunner = false;
    long fitting = 0;
    for (RunnerKind k : runners) {
      anyRunner = true;
      if (r.label().isEmpty() || k.labels().contains(r.label())) {
        int n = r.reserved().countFittingIn(k.capacity());
        fitting += r.maxPerRunner() > 0 ? Math.min(r.maxPerRunner(), n) : n;
      }
      if (fitting >= needed) {
        return Optional.empty();
      }
    }
    if (!anyRunner) {
      return Optional.empty();
    }
    return Optional.of(fitting == 0 ? RefusalReason.NO_SUCH_RUNNER : RefusalReason.GANG_TOO_LARGE);
  }

  private static ResourceVector limits(ResourceVector quota) {
    return new ResourceVector(
        0,
        0,
        limit(quota.milliCores()),
        limit(quota.memoryMb()),
        (int) limit(quota.accelerators()));
  }

  private static long limit(long quota) {
    return quota <= 0 ? Integer.MAX_VALUE : quota;
  }
}
