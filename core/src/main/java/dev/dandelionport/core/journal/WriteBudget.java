package dev.dandelionport.core.journal;

import dev.dandelionport.core.common.TimeSource;

/**
 * Bounds the store writes of one instance with a token bucket that all its partitions share. At low
 * rates the bucket refills quickly, so that a write does not wait. From 250 placements a second on
 * it refills in proportion to the placements, which lets batches grow. An owner of a whole region
 * at the peak of 215 placements a second stays below 50 writes for 1,000 placements. Thread-safe.
 */
public final class WriteBudget {

  /** Most tokens that collect while nothing is written. */
  static final double MAX_TOKENS = 10;

  /** Refill below the peak, in writes a second; nine instances stay below the store's capacity. */
  static final double BASE_WRITES_PER_SECOND = 10;

  /** Refill at the peak, in writes for each placement; leaves room for snapshots below 0.05. */
  static final double WRITES_PER_PLACEMENT = 0.04;

  /** Time over which the rate of placements is averaged, in nanoseconds. */
  private static final double AVERAGING_NANOS = 2e9;

  private final TimeSource time;
  private double tokens = MAX_TOKENS;
  private double placementsPerSecond;
  private long lastUpdateNanos;

  /** Creates a full bucket. */
  public WriteBudget(TimeSource time) {
    this.time = time;
    this.lastUpdateNanos = time.monotonicNanos();
  }

  /** Counts placements. */
  public synchronized void recordPlacements(int n) {
    update();
    placementsPerSecond += n / (AVERAGING_NANOS / 1e9);
  }

  /** Takes a token and returns 0, or returns the milliseconds until there may be one. */
  public synchronized long takeTokenOrWaitMillis() {
    update();
    if (tokens >= 1) {
      tokens--;
      return 0;
    }
    return Math.max(1, (long) Math.ceil((1 - tokens) / refillPerSecond() * 1_000));
  }

  private double refillPerSecond() {
    return Math.max(BASE_WRITES_PER_SECOND, placementsPerSecond * WRITES_PER_PLACEMENT);
  }

  private void update() {
    long now = time.monotonicNanos();
    double elapsedNanos = now - lastUpdateNanos;
    lastUpdateNanos = now;
    tokens = Math.min(MAX_TOKENS, tokens + refillPerSecond() * elapsedNanos / 1e9);
    placementsPerSecond *= Math.exp(-elapsedNanos / AVERAGING_NANOS);
  }
}
