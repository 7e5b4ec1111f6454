package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.placement.WorkerIndex.CapacityKind;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import dev.dandelionport.core.scheduler.WorkerState.Commitment;
import java.util.ArrayList;
import java.util.List;

/** Preempts deferrable work so that urgent work can start. */
final class Preemptor {

  /**
   * Maximum number of tasks of one queue for which workers are nominated in one step; bounds the
   * duration of the step.
   */
  private static final int MAX_NOMINATIONS_PER_STEP = 64;

  /**
   * Time after which another worker is nominated if the capacity has not become free, in
   * milliseconds.
   */
  private static final long NOMINATION_TIMEOUT_MILLIS = 3_000;

  private final SchedulerState state;
  private final AttemptManager attempts;

  Preemptor(SchedulerState state, AttemptManager attempts) {
    this.state = state;
    this.attempts = attempts;
  }

  /** Preempts work for the tasks of a blocked urgent queue. */
  void preemptForQueue(ShapeQueue q) {
    q.preemptionNeeded = false;
    int remaining = MAX_NOMINATIONS_PER_STEP;
    for (JobState j : q.jobs()) {
      for (TaskState t : j.startableTasks) {
        if (remaining-- == 0) {
          q.preemptionNeeded = true;
          return;
        }
        if (t.nominatedWorker == null && !nominateWorker(t)) {
          return;
        }
      }
    }
  }

  /**
   * Nominates a worker for an urgent task and stops preemptible work there until the task fits.
   * Returns false if the task would not fit on any worker even then.
   */
  private boolean nominateWorker(TaskState t) {
    ResourceVector size = t.job.spec.taskSize();
    WorkerState w =
        state.fleet.get(
            state.fleet.index.find(CapacityKind.AFTER_PREEMPTION, size, List.of()).orElse(null));
    if (w == null) {
      return false;
    }
    ResourceVector available = w.free().minus(w.nominatedCapacity);
    List<TaskState> open = new ArrayList<>();
    for (Commitment c : w.committed.values()) {
      if (c.task() != null) {
        open.add(c.task());
        available = c.task().stopping != null ? available.plus(c.size()) : available;
      }
    }
    for (TaskState x : attempts.lifecycle().preemptionOrder(open)) {
      if (!size.fitsIn(available)) {
        attempts.stop(x, Stopping.MAKE_ROOM);
        available = available.plus(x.job.spec.taskSize());
      }
    }
    t.nominatedWorker = w.info.id();
    w.nominatedCapacity = w.nominatedCapacity.plus(size);
    state.fleet.reindex(w, state.now);
    state.timers.at(state.now + NOMINATION_TIMEOUT_MILLIS, () -> nominationExpired(t, w));
    return true;
  }

  private void nominationExpired(TaskState t, WorkerState w) {
    if (t.startable && w.info.id().equals(t.nominatedWorker)) {
      attempts.clearNomination(t);
      t.job.queue.preemptionNeeded = true;
    }
  }

  /** Stops deferrable work of a team whose limit prevents its own urgent work from starting. */
  void preemptWithinLimit(TeamId team, int urgentTasks) {
    TeamUsage u = state.teams.of(team);
    int tasksToStop = urgentTasks - Math.max(0, u.maxRunning() - u.running);
    for (TaskState t : u.openTasks) {
      tasksToStop -= t.stopping != null ? 1 : 0;
    }
    for (TaskState t :
        tasksToStop > 0
            ? attempts.lifecycle().preemptionOrder(u.openTasks)
            : List.<TaskState>of()) {
      if (tasksToStop-- > 0) {
        attempts.stop(t, Stopping.MAKE_ROOM);
      }
    }
  }
}
