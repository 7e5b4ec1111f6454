package dev.dandelionport.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Decides when the next placement pass may start. Passes take a bounded share of the owner's time,
 * so that a long backlog leaves time for orders and callers.
 */
final class PassPacer {

  /** Shortest time between the starts of two passes, in milliseconds. */
  private static final long MIN_INTERVAL_MILLIS = 4;

  /**
   * Longest time between the starts of two passes, in milliseconds. A pass that was long because
   * the process did not run for a while must not delay the next one by a multiple of that time.
   */
  static final long MAX_INTERVAL_MILLIS = 400;

  /** Multiple of a pass's duration after which the next pass may start. */
  private static final long INTERVAL_FACTOR = 8;

  private long nextMillis = Long.MIN_VALUE;

  /** Returns the time until the next pass may start, in milliseconds; 0 if it may start now. */
  long delayMillis(long nowMillis) {
    return nowMillis >= nextMillis ? 0 : nextMillis - nowMillis;
  }

  /** Records a pass that lasted from {@code startNanos} to {@code endNanos}. */
  void passed(long startNanos, long endNanos) {
    long durationMillis = TimeUnit.NANOSECONDS.toMillis(INTERVAL_FACTOR * (endNanos - startNanos));
    long intervalMillis =
        Math.min(MAX_INTERVAL_MILLIS, Math.max(MIN_INTERVAL_MILLIS, durationMillis));
    nextMillis = TimeUnit.NANOSECONDS.toMillis(startNanos) + intervalMillis;
  }
}
