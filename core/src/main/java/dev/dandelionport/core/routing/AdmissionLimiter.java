package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.TimeSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of requests that one instance admits for each team. Each team has a token bucket
 * with a capacity of one second's requests, so that a team may send that many at once.
 */
public final class AdmissionLimiter {

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final TimeSource time;
  private final Map<TeamId, Bucket> buckets = new ConcurrentHashMap<>();

  /**
   * State of a bucket at {@code updatedNanos}; the credit is measured in nanoseconds of refill
   * time.
   */
  private record Bucket(long creditNanos, long updatedNanos) {}

  /** Creates a limiter whose buckets are all full. */
  public AdmissionLimiter(TimeSource time) {
    this.time = time;
  }

  /**
   * Takes one request from a team's bucket.
   *
   * @param team a team of the manifest; the caller must reject unknown teams first, so that the
   *     number of buckets stays bounded
   * @param requestsPerSecond requests that the team may send per second
   * @return whether the request is admitted
   */
  public boolean admit(TeamId team, int requestsPerSecond) {
    if (requestsPerSecond <= 0) {
      return false;
    }
    long costNanos = SECOND_NANOS / requestsPerSecond;
    boolean[] admitted = new boolean[1];
    buckets.compute(
        team,
        (t, old) -> {
          // Read inside the atomic update, so that a bucket's time never decreases.
          long nowNanos = time.monotonicNanos();
          long creditNanos =
              old == null ? SECOND_NANOS : old.creditNanos() + nowNanos - old.updatedNanos();
          creditNanos = Math.min(creditNanos, SECOND_NANOS);
          admitted[0] = creditNanos >= costNanos;
          return new Bucket(admitted[0] ? creditNanos - costNanos : creditNanos, nowNanos);
        });
    return admitted[0];
  }
}
