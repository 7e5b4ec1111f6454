package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Map;

/**
 * Lets work that is about to be late go before work of other teams that has time to spare, as long
 * as its team stays near its share. Shares alone would make a team miss deadlines in a short
 * overload, such as the loss of a failure domain, that all teams together have time to wait out.
 */
final class DeadlineBoost {

  /**
   * Slack below which deferrable work goes first, in milliseconds. With 0 or 10 s instead of 20 s,
   * 2 to 5 points fewer deadlines are met in a full cell.
   */
  private static final long MIN_SLACK_MILLIS = 20_000;

  /**
   * How far a team may come above its share by this. The goal is 5 percentage points; a full cell
   * shows up to 0.6 points more than this constant.
   */
  private static final double MAX_SHARE_EXCESS = 0.02;

  private static final long UPDATE_INTERVAL_MILLIS = 500;

  private final SchedulerState state;
  private Map<TeamId, Double> maxShares = Map.of();
  private long nextUpdateMillis;

  DeadlineBoost(SchedulerState state) {
    this.state = state;
  }

  /** Computes from time to time how much each team may use. */
  void updateMaxShares() {
    if (state.now >= nextUpdateMillis) {
      nextUpdateMillis = state.now + UPDATE_INTERVAL_MILLIS;
      maxShares =
          state.teams.shares.sharesAtDeviation(MAX_SHARE_EXCESS, state.waiting.waitingSizes());
    }
  }

  /** Returns whether the first job of a queue goes before work that has time to spare. */
  boolean isBoosted(ShapeQueue q) {
    boolean nearDeadline =
        q.workloadClass == WorkloadClass.SERVICE
            || q.workloadClass == WorkloadClass.DEFERRABLE
                && q.head().priority - state.now < MIN_SLACK_MILLIS;
    return nearDeadline
        && state.teams.shares.dominantShare(q.team.id) < maxShares.getOrDefault(q.team.id, 0.0);
  }
}
