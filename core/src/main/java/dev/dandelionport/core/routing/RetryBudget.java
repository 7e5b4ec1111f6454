package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.TimeSource;
import java.util.concurrent.TimeUnit;

/**
 * Limits retries with a token bucket. Each first send adds a tenth of a token and each second adds
 * a fixed number, so that retries cannot multiply the load on overloaded owners.
 */
public final class RetryBudget {

  private static final double TOKENS_PER_REQUEST = 0.1;
  private static final double TOKENS_PER_SECOND = 10;

  /** Capacity of the bucket; about the number of requests in flight to an owner when it fails. */
  private static final double MAX_TOKENS = 200;

  private final TimeSource time;
  private double tokens = MAX_TOKENS;
  private long lastRefillNanos;

  /** Creates a full bucket. */
  public RetryBudget(TimeSource time) {
    this.time = time;
    this.lastRefillNanos = time.monotonicNanos();
  }

  /** Records that a request is sent for the first time. */
  public synchronized void recordRequest() {
    addTokens(TOKENS_PER_REQUEST);
  }

  /** Takes a token for one retry; returns false if there is none. */
  public synchronized boolean tryTakeRetry() {
    long now = time.monotonicNanos();
    addTokens(TOKENS_PER_SECOND * (now - lastRefillNanos) / TimeUnit.SECONDS.toNanos(1));
    lastRefillNanos = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }

  private void addTokens(double added) {
    tokens = Math.min(MAX_TOKENS, tokens + added);
  }
}
