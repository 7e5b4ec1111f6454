package dev.dandelionport.core.workflow;

/** Tells whether an account stays within a number of workflows a second, with some saved up. */
final class RateBucket {

  private final double burstSeconds;
  private double tokens = -1;
  private long atMillis;

  RateBucket(double burstSeconds) {
    this.burstSeconds = burstSeconds;
  }

  /** Takes one at a rate of {@code perSecond}; returns false if none is left. */
  boolean take(double perSecond, long now) {
    double most = Math.max(1, perSecond * burstSeconds);
    tokens = tokens < 0 ? most : Math.min(most, tokens + perSecond * (now - atMillis) / 1_000);
    atMillis = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
