package dev.dandelionport.core.journal;

import dev.dandelionport.core.common.TimeSource;

/**
 * Limits the store writes of one instance with a token bucket that is shared by all its partitions.
 * At low rates the bucket refills fast enough that writes do not wait. Above 250 placements per
 * second it refills in proportion to the placement rate, which makes batches larger. An owner of a
 * whole region at the peak of 215 placements per second stays below 50 writes per 1,000 placements.
 * Thread-safe.
 */
public final class WriteBudget {

  /** Capacity of the bucket, in tokens; one token allows one write. */
  static final double MAX_TOKENS = 10;

  /**
   * Minimum refill rate, in writes per second; at this rate nine instances stay below the store's
   * capacity.
   */
  static final double BASE_WRITES_PER_SECOND = 10;

  /**
   * Refill at high rates, in writes per placement; the margin up to the limit of 0.05 is left for
   * snapshots.
   */
  static final double WRITES_PER_PLACEMENT = 0.04;

  /** Time constant of the exponential average of the placement rate, in nanoseconds. */
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

  /** Adds {@code n} placements to the measured rate. */
  public synchronized void recordPlacements(int n) {
    update();
    placementsPerSecond += n / (AVERAGING_NANOS / 1e9);
  }

  /**
   * Takes a token and returns 0, or returns the milliseconds after which a token may be available.
   */
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
