package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import java.util.Map;

/**
 * Checkpoints deferrable work of teams far above their share while a team far below its share
 * waits. Otherwise, long tasks would keep the shares unbalanced until they end.
 */
final class ShareBalancer {

  private static final long CHECK_INTERVAL_MILLIS = 1_000;

  /**
   * Deviation from the share above which work is preempted, as a fraction; the goal is 5 percentage
   * points.
   */
  private static final double MAX_DEVIATION = 0.03;

  /**
   * The number of running tasks of a team divided by this is preempted at a time, but at least one
   * task.
   */
  private static final int STOP_DIVISOR = 16;

  private final SchedulerState state;
  private final AttemptManager attempts;
  private long nextCheckMillis;

  ShareBalancer(SchedulerState state, AttemptManager attempts) {
    this.state = state;
    this.attempts = attempts;
  }

  void tick() {
    if (state.now < nextCheckMillis) {
      return;
    }
    nextCheckMillis = state.now + CHECK_INTERVAL_MILLIS;
    Map<TeamId, ResourceVector> waiting = state.waiting.waitingSizes();
    waiting.keySet().removeIf(t -> !state.teams.mayStart(t));
    if (waiting.isEmpty()) {
      return;
    }
    // The demand of a team is limited to the work that waits: preempting more for it has no
    // benefit.
    Map<TeamId, Double> deviations = state.teams.shares.deviations(waiting);
    boolean starved =
        waiting.keySet().stream().anyMatch(t -> deviations.getOrDefault(t, 0.0) < -MAX_DEVIATION);
    if (starved) {
      deviations.forEach(
          (t, d) -> {
            if (d > MAX_DEVIATION) {
              preemptSome(state.teams.of(t));
            }
          });
    }
  }

  private void preemptSome(TeamUsage u) {
    int remaining = Math.max(1, u.running / STOP_DIVISOR);
    for (TaskState t : attempts.lifecycle().preemptionOrder(u.openTasks)) {
      if (remaining-- == 0) {
        return;
      }
      attempts.stop(t, Stopping.OVER_SHARE);
    }
  }
}
