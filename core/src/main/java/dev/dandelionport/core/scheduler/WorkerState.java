package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.LinkedHashMap;
import java.util.Map;

/** The scheduling state of a worker. */
final class WorkerState {

  /**
   * Resources of a worker that are committed to an attempt.
   *
   * @param task task whose current attempt it is; null for an attempt of an unknown job
   */
  record Commitment(AttemptId attempt, ResourceVector size, TeamId team, TaskState task) {

    boolean countsAsUrgent() {
      return task == null || task.job.workloadClass() == WorkloadClass.URGENT;
    }

    /** Returns whether the attempt may be stopped to free capacity for urgent work. */
    boolean isPreemptible() {
      return task != null && task.isPreemptible();
    }
  }

  WorkerInfo info;
  String incarnation = "";
  boolean listed;
  boolean hasReported;

  /** Whether it has stopped answering; it gets no new work until it answers again. */
  boolean unresponsive;

  boolean leaving;

  /** Whether the worker itself reported that it is leaving. */
  boolean reportedLeaving;

  final WorkerHealth health = new WorkerHealth();
  final Map<AttemptId, Commitment> committed = new LinkedHashMap<>();

  ResourceVector used = ResourceVector.ZERO;

  /** Part of {@link #used} that is committed to work that is not urgent. */
  ResourceVector usedByNonUrgent = ResourceVector.ZERO;

  /** Capacity reserved for a gang. */
  ResourceVector reserved = ResourceVector.ZERO;

  /** Capacity that is being freed for urgent tasks. */
  ResourceVector nominatedCapacity = ResourceVector.ZERO;

  /** Whether the totals of the fleet include this worker. */
  boolean usable;

  WorkerState(WorkerInfo info) {
    this.info = info;
  }

  ResourceVector free() {
    return info.capacity().minus(used);
  }

  /**
   * Returns the capacity that will be free once all preemptible and stopping work has ended,
   * without the capacity already held for urgent tasks.
   */
  ResourceVector capacityAfterPreemption() {
    ResourceVector v = free().minus(nominatedCapacity);
    for (Commitment c : committed.values()) {
      if (c.isPreemptible() || c.task() != null && c.task().stopping != null) {
        v = v.plus(c.size());
      }
    }
    return v;
  }
}
