package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TimeSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Holds requests back from a partition whose owner failed or does not serve yet. While a gate is
 * closed, one request per interval passes as a probe; the first good answer opens it. A takeover
 * with thousands of waiting callers therefore costs its new owner ten messages a second.
 */
public final class PartitionCircuitBreaker {

  private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final TimeSource time;
  private final Map<PartitionId, Long> nextProbeNanos = new ConcurrentHashMap<>();

  /** Creates gates that are all open. */
  public PartitionCircuitBreaker(TimeSource time) {
    this.time = time;
  }

  /** Returns whether a request may be sent now. */
  public boolean allowsRequest(PartitionId p) {
    if (!nextProbeNanos.containsKey(p)) {
      return true;
    }
    long now = time.monotonicNanos();
    boolean[] allowed = new boolean[1];
    nextProbeNanos.computeIfPresent(
        p,
        (k, next) -> {
          allowed[0] = now - next >= 0;
          return allowed[0] ? Long.valueOf(now + PROBE_INTERVAL_NANOS) : next;
        });
    return allowed[0] || !nextProbeNanos.containsKey(p);
  }

  /** Closes the gate because the owner failed or does not serve. */
  public void recordFailure(PartitionId p) {
    nextProbeNanos.putIfAbsent(p, time.monotonicNanos() + PROBE_INTERVAL_NANOS);
  }

  /** Opens the gate because the owner answered. */
  public void recordSuccess(PartitionId p) {
    nextProbeNanos.remove(p);
  }
}
