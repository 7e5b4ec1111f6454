package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TimeSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Circuit breaker for each partition. After the owner of a partition failed or did not serve the
 * partition yet, only one request per interval is sent as a probe; the first success lets all
 * requests pass again. During a takeover with thousands of waiting callers the new owner therefore
 * receives only ten probes per second from this instance.
 */
public final class PartitionCircuitBreaker {

  private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final TimeSource time;
  private final Map<PartitionId, Long> nextProbeNanos = new ConcurrentHashMap<>();

  /** Creates a circuit breaker that allows requests to all partitions. */
  public PartitionCircuitBreaker(TimeSource time) {
    this.time = time;
  }

  /** Returns whether a request may be sent now; a probe that is allowed counts as sent. */
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

  /** Restricts requests to probes because the owner failed or does not serve the partition. */
  public void recordFailure(PartitionId p) {
    nextProbeNanos.putIfAbsent(p, time.monotonicNanos() + PROBE_INTERVAL_NANOS);
  }

  /** Allows all requests again because the owner answered. */
  public void recordSuccess(PartitionId p) {
    nextProbeNanos.remove(p);
  }
}
