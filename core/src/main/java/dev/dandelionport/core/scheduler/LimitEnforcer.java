package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** Enforces lowered team limits on running work and requests permits for waiting work. */
final class LimitEnforcer {

  /** Workload classes in the order in which their work is stopped. */
  private static final List<WorkloadClass> STOP_ORDER =
      List.of(
          WorkloadClass.DEFERRABLE,
          WorkloadClass.SERVICE,
          WorkloadClass.GANG,
          WorkloadClass.URGENT);

  /** Processor time, in percent, that is left to work over the limit that must not be stopped. */
  private static final int THROTTLE_PERCENT = 25;

  private static final long REQUEST_INTERVAL_MILLIS = 1_000;

  private final SchedulerState state;
  private final AttemptManager attempts;

  LimitEnforcer(SchedulerState state, AttemptManager attempts) {
    this.state = state;
    this.attempts = attempts;
  }

  void enforce() {
    state
        .teams
        .all()
        .forEach(
            (id, u) -> {
              int excess = u.running - u.stoppingOverLimit - u.maxRunning();
              if (excess > 0) {
                enforce(u, excess);
              }
            });
  }

  private void enforce(TeamUsage u, int excess) {
    List<TaskState> newestFirst = new ArrayList<>(u.openTasks);
    Collections.reverse(newestFirst);
    int remaining = excess;
    for (WorkloadClass c : STOP_ORDER) {
      List<TaskState> order =
          c == WorkloadClass.DEFERRABLE
              ? attempts.lifecycle().preemptionOrder(u.openTasks)
              : newestFirst;
      for (TaskState t : order) {
        boolean mayStop = t.job.spec.repeatable() && t.stopping == null;
        if (remaining > 0 && mayStop && t.job.workloadClass() == c) {
          attempts.stop(t, Stopping.OVER_LIMIT);
          remaining--;
        }
      }
    }
    for (TaskState t : newestFirst) {
      if (remaining > 0 && !t.job.spec.repeatable() && t.stopping == null) {
        remaining--;
        if (!t.throttled) {
          t.throttled = true;
          state.addEffect(new Effect.ThrottleTask(t.attempt, t.worker, THROTTLE_PERCENT));
        }
      }
    }
  }

  /** Requests more permits for teams whose work waits for them. */
  void requestPermits() {
    for (Map.Entry<TeamId, TeamUsage> e : state.teams.all().entrySet()) {
      TeamUsage u = e.getValue();
      boolean atPermitLimit = u.running + u.reserved >= u.permits && u.permits < u.limit;
      if (atPermitLimit && state.now - u.lastRequestMillis >= REQUEST_INTERVAL_MILLIS) {
        int waitingTasks = state.waiting.waitingTasksOf(e.getKey());
        if (waitingTasks > 0) {
          u.lastRequestMillis = state.now;
          int additional = Math.min(waitingTasks, u.limit - u.permits);
          state.addEffect(new Effect.RequestPermits(e.getKey(), u.permits + additional));
        }
      }
    }
  }
}
