package dev.dandelionport.core.common;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter. Each delay is drawn from the upper half of a range that doubles
 * with each attempt, so that instances that failed together do not retry together. Thread-safe.
 */
public final class RetryDelay {

  private final long minMillis;
  private final long maxMillis;
  private final SplittableRandom random;
  private int attempts;

  /**
   * Creates delays whose range starts at {@code minMillis} and grows to {@code maxMillis}, with
   * jitter seeded by {@code seed}.
   */
  public RetryDelay(long minMillis, long maxMillis, long seed) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.random = new SplittableRandom(seed);
  }

  /** Returns the next delay in milliseconds. */
  public synchronized long nextMillis() {
    long upperMillis = Math.min(maxMillis, minMillis << Math.min(attempts, 20));
    attempts++;
    return upperMillis / 2 + random.nextLong(upperMillis / 2 + 1);
  }

  /** Returns to the shortest delay; to be called after a success. */
  public synchronized void reset() {
    attempts = 0;
  }
}
