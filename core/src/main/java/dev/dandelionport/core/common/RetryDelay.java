package dev.dandelionport.core.common;

import java.util.SplittableRandom;

/**
 * Growing waits between tries. Each wait is drawn from the upper half of a range that doubles, so
 * that instances which failed together do not come back together. Thread-safe.
 */
public final class RetryDelay {

  private final long minMillis;
  private final long maxMillis;
  private final SplittableRandom random;
  private int attempts;

  /** Creates waits from {@code firstMillis} to {@code maxMillis}, spread by {@code seed}. */
  public RetryDelay(long minMillis, long maxMillis, long seed) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.random = new SplittableRandom(seed);
  }

  /** Returns the next wait in milliseconds. */
  public synchronized long nextMillis() {
    long upperMillis = Math.min(maxMillis, minMillis << Math.min(attempts, 20));
    attempts++;
    return upperMillis / 2 + random.nextLong(upperMillis / 2 + 1);
  }

  /** Starts again with the shortest wait, after a success. */
  public synchronized void reset() {
    attempts = 0;
  }
}
