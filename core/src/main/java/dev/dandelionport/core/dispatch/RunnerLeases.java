package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.port.RunnerClient;

/**
 * Leases that the owner has granted on one runner: converts their times to the runner's clock and
 * tracks when all of them have expired. Guarded by the owner's shard.
 */
final class RunnerLeases {

  /**
   * Age of the reading of the runner's clock from which no lease is granted, in milliseconds. The
   * runner may have restarted since, and a lease is shorter by the uncertainty of its clock.
   */
  private static final long MAX_CLOCK_AGE_MILLIS = 2_000;

  private final DispatchContext context;

  /** Latest reading of the runner's clock; null if there is none. */
  private RunnerClock clock;

  /**
   * Whether the latest two readings are of different incarnations and their calls overlapped, so
   * that it is not known which one is the current incarnation's.
   */
  private boolean clockAmbiguous;

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
    return clock != null;
  }

  /** Returns whether the runner's clock must be read again before a lease is granted. */
  boolean isClockOutdated() {
    return clock != null
        && (clockAmbiguous || context.nowMillis() - clock.earliestMillis() > MAX_CLOCK_AGE_MILLIS);
  }

  /**
   * Records the runner's clock in the answer to a call; {@link RunnerClient#NO_TIME} is ignored.
   *
   * @param sentMillis when the call was sent, on the monotonic clock
   */
  void updateClock(long clockMillis, long sentMillis) {
    if (clockMillis == RunnerClient.NO_TIME) {
      return;
    }
    RunnerClock next = new RunnerClock(clockMillis, sentMillis, context.nowMillis());
    if (clock == null) {
      clock = next;
    } else if (clockAmbiguous || clock.isContradictedBy(next)) {
      clockAmbiguous = !clock.isBefore(next);
      clock = next;
    } else if (clock.isBefore(next) || next.lowestAt(clock.latestMillis()) < clock.clockMillis()) {
      // Of calls that overlapped, the reading that leads to shorter leases is used.
      clock = next.narrowedBy(clock);
    }
  }

  /** Forgets the clock of an earlier incarnation. */
  void forgetClock() {
    clock = null;
    clockAmbiguous = false;
  }

  /** Extends the leases with a call sent now; returns their end on the runner's clock. */
  long extend() {
    long now = context.nowMillis();
    expireMillis = Math.max(expireMillis, now + context.settings().maxLeaseMillis());
    return clock.lowestAt(now) + context.settings().runnerLeaseMillis();
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
