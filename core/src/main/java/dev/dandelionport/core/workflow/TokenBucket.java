package dev.dandelionport.core.workflow;

/** Token bucket that limits a rate; unused tokens accumulate for a limited time. */
final class TokenBucket {

  private final double burstSeconds;
  private double tokens = -1;
  private long refilledMillis;

  TokenBucket(double burstSeconds) {
    this.burstSeconds = burstSeconds;
  }

  /** Takes a token at a refill rate of {@code perSecond}; returns false if none is left. */
  boolean tryTake(double perSecond, long now) {
    if (!hasToken(perSecond, now)) {
      return false;
    }
    tokens--;
    return true;
  }

  /** Returns whether a token is left at a refill rate of {@code perSecond}. */
  boolean hasToken(double perSecond, long now) {
    double capacity = Math.max(1, perSecond * burstSeconds);
    tokens =
        tokens < 0
            ? capacity
            : Math.min(capacity, tokens + perSecond * (now - refilledMillis) / 1_000);
    refilledMillis = now;
    return tokens >= 1;
  }
}
