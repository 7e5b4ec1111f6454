package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * Waiting jobs of one team and workload class whose tasks have similar sizes. While its first job
 * does not fit, the queue is blocked and no search is made for it.
 */
final class ShapeQueue {

  /** Why the first job of the queue cannot start. */
  enum Block {
    NONE,
    /** No worker has enough free capacity for it. */
    CAPACITY,
    /** The remaining capacity of the cell is kept free for urgent work. */
    HEADROOM
  }

  final TeamQueue team;
  final WorkloadClass workloadClass;
  private final TreeSet<JobState> jobs =
      new TreeSet<>(
          Comparator.comparingLong((JobState j) -> j.priority).thenComparing(j -> j.sequence));
  Block block = Block.NONE;

  /**
   * Whether tasks were added, or a nomination expired, since work was last preempted for the queue.
   */
  boolean preemptionNeeded;

  ShapeQueue(TeamQueue team, WorkloadClass workloadClass) {
    this.team = team;
    this.workloadClass = workloadClass;
  }

  JobState head() {
    return jobs.first();
  }

  Iterable<JobState> jobs() {
    return jobs;
  }

  boolean isEmpty() {
    return jobs.isEmpty();
  }

  int size() {
    return jobs.size();
  }

  void add(JobState j) {
    jobs.add(j);
    j.queue = this;
  }

  void remove(JobState j) {
    jobs.remove(j);
    j.queue = null;
  }

  /**
   * Returns whether the first job of this queue goes before that of another queue of the team.
   * Services go before deferrable work.
   */
  boolean precedes(ShapeQueue o) {
    int c = Integer.compare(rank(workloadClass), rank(o.workloadClass));
    if (c == 0) {
      c = Long.compare(head().priority, o.head().priority);
    }
    return c != 0 ? c < 0 : head().sequence < o.head().sequence;
  }

  private static int rank(WorkloadClass c) {
    return switch (c) {
      case URGENT -> 0;
      case GANG -> 1;
      case SERVICE -> 2;
      case DEFERRABLE -> 3;
    };
  }

  /** Rounds each resource up to a power of two, so that the number of queues stays small. */
  static ResourceVector shapeOf(ResourceVector v) {
    return new ResourceVector(
        (int) roundUp(v.slots()),
        (int) roundUp(v.connections()),
        roundUp(v.milliCores()),
        roundUp(v.memoryMb()),
        (int) roundUp(v.accelerators()));
  }

  private static long roundUp(long n) {
    return n <= 1 ? n : Long.highestOneBit(n - 1) << 1;
  }
}
