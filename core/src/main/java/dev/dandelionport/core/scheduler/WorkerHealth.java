package dev.dandelionport.core.scheduler;

/**
 * Failure rate of one worker. The worker is held back while nearly everything that it starts fails:
 * it gets no work, except for one attempt as a probe after each backoff.
 */
final class WorkerHealth {

  /** Weight of the latest attempt in the failure rate. */
  private static final double SMOOTHING_FACTOR = 0.25;

  /** Failure rate from which a worker is held back; four failures in a row reach 0.68. */
  private static final double MAX_FAILURE_RATE = 0.65;

  private static final long INITIAL_BACKOFF_MILLIS = 1_000;
  private static final long MAX_BACKOFF_MILLIS = 60_000;

  private double failureRate;
  private int backoffs;
  private boolean heldBack;
  private long probeAtMillis;

  /**
   * Updates the failure rate with the outcome of an attempt; returns whether the worker has to be
   * held back from now on.
   */
  boolean recordOutcome(boolean failed, String worker, long now) {
    failureRate += SMOOTHING_FACTOR * ((failed ? 1 : 0) - failureRate);
    if (heldBack && !failed) {
      heldBack = false;
      backoffs = 0;
      failureRate = 0;
      return false;
    }
    if (!failed || failureRate < MAX_FAILURE_RATE) {
      return false;
    }
    final boolean newlyHeldBack = !heldBack;
    heldBack = true;
    long backoffMillis =
        Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(backoffs, 10));
    backoffs++;
    probeAtMillis = now + RetryPolicy.jittered(worker + '#' + backoffs, backoffMillis);
    return newlyHeldBack;
  }

  boolean isHeldBack() {
    return heldBack;
  }

  double failureRate() {
    return failureRate;
  }

  long probeAtMillis() {
    return probeAtMillis;
  }

  /**
   * Returns whether work may start on the worker. A worker that is held back gets a single attempt
   * after each backoff.
   *
   * @param openAttempts attempts that may be running on the worker
   */
  boolean acceptsWork(int openAttempts, long now) {
    return !heldBack || now >= probeAtMillis && openAttempts == 0;
  }
}
