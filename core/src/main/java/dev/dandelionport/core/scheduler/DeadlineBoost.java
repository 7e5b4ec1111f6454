package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Map;

/**
 * Starts work close to its deadline before work of other teams with more slack, as long as its team
 * stays near its share. With shares alone, a team would miss deadlines during a short overload,
 * such as the loss of a failure domain, although all teams together have enough slack to wait until
 * it ends.
 */
final class DeadlineBoost {

  /**
   * Deferrable work with less slack than this, in milliseconds, goes first. With 0 or 10 s instead
   * of 20 s, 2 to 5 percentage points fewer deadlines are met in a full cell.
   */
  private static final long MIN_SLACK_MILLIS = 20_000;

  /**
   * How far a team may exceed its share because of a boost, as a fraction. The goal is 5 percentage
   * points; in a full cell, teams exceed this constant by up to 0.6 points.
   */
  private static final double MAX_SHARE_EXCESS = 0.02;

  private static final long UPDATE_INTERVAL_MILLIS = 500;

  private final SchedulerState state;
  private Map<TeamId, Double> maxShares = Map.of();
  private long nextUpdateMillis;

  DeadlineBoost(SchedulerState state) {
    this.state = state;
  }

  /**
   * Recomputes at a fixed interval the dominant share below which the work of each team is boosted.
   */
  void updateMaxShares() {
    if (state.now >= nextUpdateMillis) {
      nextUpdateMillis = state.now + UPDATE_INTERVAL_MILLIS;
      maxShares =
          state.teams.shares.sharesAtDeviation(MAX_SHARE_EXCESS, state.waiting.waitingSizes());
    }
  }

  /** Returns whether the first job of a queue goes before work with more slack. */
  boolean isBoosted(ShapeQueue q) {
    boolean nearDeadline =
        q.workloadClass == WorkloadClass.SERVICE
            || q.workloadClass == WorkloadClass.DEFERRABLE
                && q.head().priority - state.now < MIN_SLACK_MILLIS;
    return nearDeadline
        && state.teams.shares.dominantShare(q.team.id) < maxShares.getOrDefault(q.team.id, 0.0);
  }
}
