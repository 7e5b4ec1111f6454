package dev.dandelionport.core.scheduler;

/** Failure rate of one worker; holds it back when it fails nearly everything it starts. */
final class WorkerHealth {

  /** Weight of the latest attempt in the failure rate. */
  private static final double SMOOTHING_FACTOR = 0.25;

  /** Rate above which a worker is held back; four failures in a row reach 0.68. */
  private static final double MAX_FAILURE_RATE = 0.65;

  private static final long MIN_BACKOFF_MILLIS = 1_000;
  private static final long MAX_BACKOFF_MILLIS = 60_000;

  private double failureRate;
  private int backoffs;
  private boolean suspect;
  private long probeAtMillis;

  /** Notes how an attempt ended; returns whether the worker has just become suspect. */
  boolean recordOutcome(boolean failed, String worker, long now) {
    failureRate += SMOOTHING_FACTOR * ((failed ? 1 : 0) - failureRate);
    if (suspect && !failed) {
      suspect = false;
      backoffs = 0;
      failureRate = 0;
      return false;
    }
    if (!failed || failureRate < MAX_FAILURE_RATE) {
      return false;
    }
    final boolean becameSuspect = !suspect;
    suspect = true;
    long backoffMillis = Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(backoffs, 10));
    backoffs++;
    probeAtMillis = now + RetryPolicy.jittered(worker + '#' + backoffs, backoffMillis);
    return becameSuspect;
  }

  boolean suspect() {
    return suspect;
  }

  double failureRate() {
    return failureRate;
  }

  long probeAtMillis() {
    return probeAtMillis;
  }

  /** Returns whether work may start on the worker, which has {@code open} attempts. */
  boolean acceptsWork(int openAttempts, long now) {
    return !suspect || now >= probeAtMillis && openAttempts == 0;
  }
}
