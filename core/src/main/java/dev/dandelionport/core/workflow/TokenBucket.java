package dev.dandelionport.core.workflow;

/** Tells whether an account stays within a number of workflows a second, with some saved up. */
final class TokenBucket {

  private final double burstSeconds;
  private double tokens = -1;
  private long refilledMillis;

  TokenBucket(double burstSeconds) {
    this.burstSeconds = burstSeconds;
  }

  /** Takes one at a rate of {@code perSecond}; returns false if none is left. */
  boolean tryTake(double perSecond, long now) {
    double capacity = Math.max(1, perSecond * burstSeconds);
    tokens =
        tokens < 0
            ? capacity
            : Math.min(capacity, tokens + perSecond * (now - refilledMillis) / 1_000);
    refilledMillis = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
