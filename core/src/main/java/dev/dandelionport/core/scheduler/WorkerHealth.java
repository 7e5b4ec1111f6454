package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.health.FailureRating;

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

  private final FailureRating rating =
      new FailureRating(
          SMOOTHING_FACTOR, MAX_FAILURE_RATE, INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
  private boolean heldBack;
  private long probeAtMillis;

  /**
   * Updates the failure rate with the outcome of an attempt; returns whether the worker has to be
   * held back from now on.
   */
  boolean recordOutcome(boolean failed, String worker, long now) {
    boolean rateTooHigh = rating.record(failed);
    if (heldBack && !failed) {
      heldBack = false;
      rating.reset();
      return false;
    }
    if (!failed || !rateTooHigh) {
      return false;
    }
    final boolean newlyHeldBack = !heldBack;
    heldBack = true;
    long backoffMillis = rating.nextHoldMillis();
    probeAtMillis = now + RetryPolicy.jittered(worker + '#' + rating.holds(), backoffMillis);
    return newlyHeldBack;
  }

  boolean isHeldBack() {
    return heldBack;
  }

  double failureRate() {
    return rating.rate();
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
