package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.placement.WorkerIndex.CapacityKind;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import dev.dandelionport.core.scheduler.WorkerState.Commitment;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Moves work off workers that are leaving or whose failure domain is out of service. */
final class DrainController {

  /** Deferrable tasks that are expected to end within this time are left to finish. */
  private static final long MAX_REMAINING_MILLIS = 30_000;

  /**
   * A service moves at most its number of tasks divided by this at a time, but at least one task.
   */
  private static final int MOVE_DIVISOR = 4;

  private final SchedulerState state;
  private final AttemptManager attempts;
  private final Set<WorkerState> drainingWorkers = new LinkedHashSet<>();

  DrainController(SchedulerState state, AttemptManager attempts) {
    this.state = state;
    this.attempts = attempts;
  }

  /** Determines again which workers have to be drained. */
  void updateAll() {
    state.fleet.all().forEach(this::update);
  }

  void update(WorkerState w) {
    if (!w.committed.isEmpty() && (w.leaving || !state.fleet.inService(w))) {
      drainingWorkers.add(w);
    } else {
      drainingWorkers.remove(w);
    }
  }

  /** Continues all drains. Services move first; deferrable work is checkpointed afterwards. */
  void drainStep() {
    for (WorkerState w : new ArrayList<>(drainingWorkers)) {
      update(w);
      if (drainingWorkers.contains(w) && !moveServices(w)) {
        checkpointDeferrable(w);
      }
    }
  }

  /**
   * Moves service tasks as far as other workers have capacity for them. Returns whether service
   * tasks that still have to move remain on the worker.
   */
  private boolean moveServices(WorkerState w) {
    boolean tasksRemain = false;
    for (Commitment c : List.copyOf(w.committed.values())) {
      TaskState t = c.task();
      boolean service =
          t != null
              && t.job.workloadClass() == WorkloadClass.SERVICE
              && t.job.spec.repeatable()
              && t.stopping == null;
      if (service && mayMoveTask(t.job)) {
        attempts.stop(t, Stopping.DRAIN);
      } else {
        tasksRemain |= service;
      }
    }
    return tasksRemain;
  }

  private boolean mayMoveTask(JobState j) {
    long moving = j.tasks.stream().filter(t -> t.isWaiting() || t.stopping != null).count();
    return moving < Math.max(1, j.tasks.size() / MOVE_DIVISOR)
        && state
            .fleet
            .index
            .find(CapacityKind.UNRESERVED, j.spec.taskSize(), List.of())
            .isPresent();
  }

  private void checkpointDeferrable(WorkerState w) {
    for (Commitment c : List.copyOf(w.committed.values())) {
      if (c.isPreemptible()) {
        TaskState t = c.task();
        long remainingMillis = attempts.lifecycle().expectedEndMillis(t) - state.now;
        if (remainingMillis > MAX_REMAINING_MILLIS) {
          attempts.stop(t, Stopping.DRAIN);
        }
      }
    }
  }
}
