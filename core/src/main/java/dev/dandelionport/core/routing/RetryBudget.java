package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.TimeSource;
import java.util.concurrent.TimeUnit;

/**
 * Bounds how often requests are sent again. First sends earn a tenth of a resend each, and time
 * earns a few per second, so that resends cannot multiply the load on owners that are overloaded.
 */
public final class RetryBudget {

  private static final double TOKENS_PER_REQUEST = 0.1;
  private static final double TOKENS_PER_SECOND = 10;

  /** Most resends that can be saved; about the requests in flight to an owner that dies. */
  private static final double MAX_TOKENS = 200;

  private final TimeSource time;
  private double tokens = MAX_TOKENS;
  private long lastRefillNanos;

  /** Creates a full budget. */
  public RetryBudget(TimeSource time) {
    this.time = time;
    this.lastRefillNanos = time.monotonicNanos();
  }

  /** Notes that a request is sent for the first time. */
  public synchronized void recordRequest() {
    addTokens(TOKENS_PER_REQUEST);
  }

  /** Takes one resend from the budget; returns false if there is none. */
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
