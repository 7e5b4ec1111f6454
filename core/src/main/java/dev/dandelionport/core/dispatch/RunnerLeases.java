package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.port.RunnerClient;

/**
 * Leases that the owner has granted on one runner: converts their times to the runner's clock and
 * tracks when they have expired, whichever incarnation of the runner has carried out the calls.
 * Guarded by the owner's shard.
 */
final class RunnerLeases {

  /**
   * Age of the reading of the runner's clock from which no lease is granted, in milliseconds. The
   * runner may have restarted since, and a lease is shorter by the uncertainty of its clock.
   */
  private static final long MAX_CLOCK_AGE_MILLIS = 2_000;

  /** A call that extends no lease. */
  static final Grant NO_GRANT = new Grant(RunnerClient.NO_TIME, 0);

  /**
   * A call that extends the leases on the runner.
   *
   * @param untilMillis end of the leases on the clock that was known when the call was sent, or
   *     {@link RunnerClient#NO_TIME}
   * @param clockNumber number of that clock
   */
  record Grant(long untilMillis, long clockNumber) {
    boolean extendsLeases() {
      return untilMillis != RunnerClient.NO_TIME;
    }
  }

  /** Leases that have expired. */
  enum Expiry {
    NONE,
    /** Those of all runs that the runner has confirmed. */
    CONFIRMED_RUNS,
    ALL_RUNS
  }

  private final DispatchContext context;

  /** Latest reading of the runner's clock; null if there is none. */
  private RunnerClock clock;

  /** Counts the clocks that the runner has shown; each of its incarnations has another one. */
  private long clockNumber;

  /**
   * Whether the latest two readings are of different clocks and their calls overlapped, so that it
   * is not known which one is the current clock.
   */
  private boolean clockAmbiguous;

  /**
   * Time by which the leases have expired that calls granted to the incarnation that they were
   * meant for or to one that has answered, on the monotonic clock.
   */
  private long expireMillis;

  /**
   * Time by which the leases have expired that calls without an answer may have granted to any
   * incarnation, on the monotonic clock.
   */
  private long unansweredExpireMillis = Long.MIN_VALUE;

  /** Number of calls that extend the leases and were neither answered nor have failed. */
  private int pending;

  /** Value of {@link #expireMillis} whose expiry was returned. */
  private long handledExpiryMillis = Long.MIN_VALUE;

  /** Time by which all leases had expired when that was returned. */
  private long handledLastExpiryMillis = Long.MIN_VALUE;

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

  /** Returns the number of the runner's clock, which changes when the runner has restarted. */
  long clockNumber() {
    return clockNumber;
  }

  /**
   * Records the runner's clock in the answer to a call; {@link RunnerClient#NO_TIME} is ignored.
   *
   * @param sentMillis when the call was sent, on the monotonic clock
   * @return a time at which the runner had certainly not answered yet
   */
  long updateClock(long clockMillis, long sentMillis) {
    if (clockMillis == RunnerClient.NO_TIME) {
      return sentMillis;
    }
    RunnerClock next = new RunnerClock(clockMillis, sentMillis, context.nowMillis());
    if (clock == null) {
      clock = next;
      return sentMillis;
    }
    if (clockAmbiguous || clock.isContradictedBy(next)) {
      clockAmbiguous = !clock.isBefore(next);
      beginClock(next);
      return sentMillis;
    }
    RunnerClock narrowed = next.narrowedBy(clock);
    if (clock.isBefore(next) || next.lowestAt(clock.latestMillis()) < clock.clockMillis()) {
      // Of calls that overlapped, the reading that leads to shorter leases is used.
      clock = narrowed;
    }
    return narrowed.earliestMillis();
  }

  /** Forgets the clock of an earlier incarnation. */
  void forgetClock() {
    clockAmbiguous = false;
    beginClock(null);
  }

  private void beginClock(RunnerClock reading) {
    clock = reading;
    clockNumber++;
    // Calls meant for the earlier incarnation may have extended leases of the current one.
    expireMillis = Math.max(expireMillis, unansweredExpireMillis);
  }

  /** Extends the leases with a call sent now, which must be passed on once it has completed. */
  Grant extend() {
    long now = context.nowMillis();
    long leaseMillis = context.settings().runnerLeaseMillis();
    expireMillis = Math.max(expireMillis, now + DispatchSettings.maxDurationMillis(leaseMillis));
    pending++;
    return new Grant(clock.lowestAt(now) + leaseMillis, clockNumber);
  }

  /**
   * Records that a call has completed.
   *
   * @param clockMillis the runner's clock in the answer, or {@link RunnerClient#NO_TIME} if there
   *     is none
   */
  void completed(Grant g, String runner, long clockMillis) {
    if (!g.extendsLeases()) {
      return;
    }
    pending--;
    if (clockMillis == RunnerClient.NO_TIME) {
      failed(g);
    } else {
      answered(g, runner, clockMillis);
    }
  }

  /** Counts the leases by the clock in the answer, and reports one longer than intended. */
  private void answered(Grant g, String runner, long clockMillis) {
    long leaseMillis = g.untilMillis() - clockMillis;
    DispatchSettings s = context.settings();
    expireMillis =
        Math.max(
            expireMillis,
            context.nowMillis()
                + DispatchSettings.maxDurationMillis(
                    Math.min(leaseMillis, s.maxRunnerLeaseMillis())));
    if (leaseMillis > s.runnerLeaseMillis()) {
      context.report(
          DispatchTopic.RUNNER_LEASE_TOO_LONG,
          "runner",
          runner,
          "untilMillis",
          g.untilMillis(),
          "clockMillis",
          clockMillis,
          "leaseMillis",
          leaseMillis);
    }
  }

  /**
   * Counts a call without an answer. It may have reached an incarnation whose clock is not known,
   * and then it has extended the leases by the longest time that a runner grants.
   */
  private void failed(Grant g) {
    long latestMillis =
        context.nowMillis()
            + DispatchSettings.maxDurationMillis(context.settings().maxRunnerLeaseMillis());
    unansweredExpireMillis = Math.max(unansweredExpireMillis, latestMillis);
    if (g.clockNumber() != clockNumber) {
      expireMillis = Math.max(expireMillis, latestMillis);
    }
  }

  /** Returns which leases have expired since the last call. */
  Expiry takeExpiry() {
    long now = context.nowMillis();
    long lastExpiryMillis = Math.max(expireMillis, unansweredExpireMillis);
    if (pending == 0 && now > lastExpiryMillis && lastExpiryMillis != handledLastExpiryMillis) {
      handledExpiryMillis = expireMillis;
      handledLastExpiryMillis = lastExpiryMillis;
      return Expiry.ALL_RUNS;
    }
    if (now > expireMillis && expireMillis != handledExpiryMillis) {
      handledExpiryMillis = expireMillis;
      return Expiry.CONFIRMED_RUNS;
    }
    return Expiry.NONE;
  }
}
