package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.TimeSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Requests that the owner of a partition refused as not run, for as long as copies of them may be
 * in flight. A copy's not-after time lies {@link #COPY_LIFETIME_MILLIS} after its request reached
 * an entry instance, so the not-after time also tells which copies are older than a refusal: those
 * stay refused, and a request that the caller makes afterwards is a new one. Times are on the
 * owner's monotonic clock. Not thread-safe.
 */
public final class RefusedRequests {

  /**
   * Time in which a copy of a request may be accepted, in milliseconds; longer than a caller's wait
   * of at most 60 s and the 4.6 s of a takeover.
   */
  public static final long COPY_LIFETIME_MILLIS = 65_000;

  /** Most refusals remembered by request key; about 2 MB. */
  static final int MAX_REFUSALS = 10_000;

  private static final long COPY_LIFETIME_NANOS =
      TimeUnit.MILLISECONDS.toNanos(COPY_LIFETIME_MILLIS);

  /** What is to become of a copy of a request that the owner does not know. */
  public enum Decision {
    /** The copy may be accepted. */
    ACCEPT,
    /** The request was refused after this copy was made. */
    REFUSED,
    /** The copy is too old, or its request may have been refused by a former owner. */
    EXPIRED
  }

  private final TimeSource time;
  private final int maxRefusals;

  /** Not-after time up to which the copies of each request are void, oldest refusal first. */
  private final Map<JobKey, Long> refusedUntilNanos = new LinkedHashMap<>();

  /** Not-after time up to which the copies of all requests are void that can be refused. */
  private long allRefusedUntilNanos;

  /** Creates the memory of an owner that starts to serve now. */
  public RefusedRequests(TimeSource time, boolean firstOwner) {
    this(time, firstOwner, MAX_REFUSALS);
  }

  RefusedRequests(TimeSource time, boolean firstOwner, int maxRefusals) {
    this.time = time;
    this.maxRefusals = maxRefusals;
    // What a former owner refused is not known here, but it refused nothing after this moment.
    this.allRefusedUntilNanos = time.monotonicNanos() + (firstOwner ? 0 : COPY_LIFETIME_NANOS);
  }

  /**
   * Judges a copy of a request.
   *
   * @param refusable whether requests of this kind are ever refused as not run
   */
  public Decision check(JobKey job, long notAfterNanos, boolean refusable) {
    long now = time.monotonicNanos();
    if (notAfterNanos - now <= 0) {
      return Decision.EXPIRED;
    }
    if (!refusable) {
      return Decision.ACCEPT;
    }
    Long until = refusedUntilNanos.get(job);
    if (until != null && notAfterNanos - until <= 0) {
      return Decision.REFUSED;
    }
    return notAfterNanos - allRefusedUntilNanos <= 0 ? Decision.EXPIRED : Decision.ACCEPT;
  }

  /** Notes that a request is refused; no copy of it that was made up to now will be accepted. */
  public void refuse(JobKey job) {
    long now = time.monotonicNanos();
    refusedUntilNanos.remove(job);
    refusedUntilNanos.put(job, now + COPY_LIFETIME_NANOS);
    Iterator<Long> oldestFirst = refusedUntilNanos.values().iterator();
    while (oldestFirst.hasNext()) {
      long until = oldestFirst.next();
      if (until - now > 0) {
        if (refusedUntilNanos.size() <= maxRefusals) {
          return;
        }
        // Without its key, the refusal is kept by voiding every copy of the same age.
        allRefusedUntilNanos = until - allRefusedUntilNanos > 0 ? until : allRefusedUntilNanos;
      }
      oldestFirst.remove();
    }
  }

  /** Returns how many refusals are remembered by request key. */
  public int size() {
    return refusedUntilNanos.size();
  }
}
