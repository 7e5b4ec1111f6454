package dev.dandelionport.core.admission;

import java.util.Optional;

/**
 * Decides whether a submission would certainly end too late, for cells with more work than
 * capacity. The forecast is the best case: all runs are short, tasks pack perfectly, nothing fails
 * and nothing else arrives. What is not certain counts in favour of the submission.
 */
public final class Forecast {

  private Forecast() {}

  /**
   * Returns why a submission would certainly end too late, or empty.
   *
   * @param pool capacity of the runners that can run it
   * @param quota quota of its account
   * @param backlog accepted and unfinished work of the pool
   * @param overShare whether its account is over its fair share
   */
  public static Optional<RefusalReason> reasonTooLate(
      Demand d,
      CapacityUse pool,
      CapacityUse quota,
      Backlog backlog,
      Quotas quotas,
      boolean overShare) {
    if (isQuotaFull(d, quota, backlog, false)) {
      return Optional.of(RefusalReason.QUOTA_FULL);
    }
    if (isPoolFull(d, pool, backlog, quotas, false)) {
      return Optional.of(RefusalReason.POOL_FULL);
    }
    return overShare
            && (isQuotaFull(d, quota, backlog, true) || isPoolFull(d, pool, backlog, quotas, true))
        ? Optional.of(RefusalReason.OVER_SHARE)
        : Optional.empty();
  }

  private static boolean isQuotaFull(
      Demand d, CapacityUse quota, Backlog backlog, boolean overShare) {
    return quota.saturated()
        && cannotStart(d, quota, backlog, backlog.aheadInAccount(d, overShare));
  }

  private static boolean isPoolFull(
      Demand d, CapacityUse pool, Backlog backlog, Quotas quotas, boolean overShare) {
    if (!pool.saturated()) {
      return false;
    }
    double window = windowMillis(d, pool, backlog);
    return cannotStart(d, pool, backlog, backlog.ahead(d, overShare, window, quotas));
  }

  /** Returns whether the work ahead keeps a submission from starting until it is too late. */
  private static boolean cannotStart(Demand d, CapacityUse c, Backlog backlog, Work ahead) {
    return ahead.millisOn(c.capacity(), d.size()) > windowMillis(d, c, backlog);
  }

  /**
   * Returns the time for which the capacity must be taken by work ahead. It is the time until the
   * latest useful start, and one run more, because the last runs ahead may still be in progress
   * when the submission starts.
   */
  private static double windowMillis(Demand d, CapacityUse c, Backlog backlog) {
    double latestStartMillis = d.worthlessMillis() - d.shortestMillis(c.capacity());
    return Math.max(0, latestStartMillis - backlog.computedMillis()) + backlog.longestMillis();
  }
}
