package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.port.RunnerClient;

/**
 * Leases that the owner has granted on one runner: converts their times to the runner's clock and
 * tracks when all of them have expired. Guarded by the owner's shard.
 */
final class RunnerLeases {

  private final DispatchContext context;

  /** Offset of the runner's clock from the local monotonic clock, from its latest answer. */
  private long clockOffset;

  private boolean clockKnown;

  /** Time by which all leases on the runner have expired, on the monotonic clock. */
  private long expireMillis;

  /** Value of {@link #expireMillis} whose expiry was handled. */
  private long handledExpiryMillis = Long.MIN_VALUE;

  /**
   * Creates leases of which former owners may have granted some that expire by {@code
   * expireMillis}.
   */
  RunnerLeases(DispatchContext context, long expireMillis) {
    this.context = context;
    this.expireMillis = expireMillis;
  }

  /** Returns whether the runner's clock is known; without it no lease can be granted. */
  boolean isClockKnown() {
    return clockKnown;
  }

  /** Records the runner's clock from an answer; {@link RunnerClient#NO_TIME} is ignored. */
  void updateClock(long clockMillis) {
    if (clockMillis != RunnerClient.NO_TIME) {
      clockOffset = clockMillis - context.nowMillis();
      clockKnown = true;
    }
  }

  /** Extends the leases with a call sent now; returns their end on the runner's clock. */
  long extend() {
    long now = context.nowMillis();
    expireMillis = Math.max(expireMillis, now + context.settings().maxLeaseMillis());
    return now + clockOffset + context.settings().runnerLeaseMillis();
  }

  /**
   * Records the runner's clock in the answer to a call that extended the leases to {@code
   * untilMillis} on that clock, and reports a lease that is longer than intended.
   */
  void answered(String runner, long untilMillis, long clockMillis) {
    if (untilMillis != RunnerClient.NO_TIME
        && clockMillis != RunnerClient.NO_TIME
        && untilMillis - clockMillis > context.settings().runnerLeaseMillis()) {
      context.report(
          DispatchTopic.RUNNER_LEASE_TOO_LONG,
          "runner",
          runner,
          "untilMillis",
          untilMillis,
          "clockMillis",
          clockMillis,
          "leaseMillis",
          untilMillis - clockMillis);
    }
  }

  /** Returns whether all leases have expired and this was not yet handled. */
  boolean isExpiryUnhandled() {
    return context.nowMillis() > expireMillis && expireMillis != handledExpiryMillis;
  }

  /** Records that the runs with a lease were ended because all leases have expired. */
  void expiryHandled() {
    handledExpiryMillis = expireMillis;
  }
}
