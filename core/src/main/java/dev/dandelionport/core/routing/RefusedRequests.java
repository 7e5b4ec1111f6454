package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.TimeSource;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Requests that the owner of a partition refused as not run. Each refusal is kept for as long as
 * copies of the request may be in flight. The not-after time of a copy lies {@link
 * #COPY_LIFETIME_MILLIS} after its request reached an entry instance, so it also shows which copies
 * are older than a refusal. Those remain refused, while a request that the caller makes afterwards
 * counts as new. Times are on the owner's monotonic clock. Not thread-safe.
 */
public final class RefusedRequests {

  /**
   * Time during which a copy of a request may be accepted, in milliseconds; longer than the maximum
   * wait of a caller of 60 s plus a takeover of 4.6 s.
   */
  public static final long COPY_LIFETIME_MILLIS = 65_000;

  /** Maximum number of refusals stored by request key; they take about 2 MB. */
  static final int MAX_REFUSALS = 10_000;

  private static final long COPY_LIFETIME_NANOS =
      TimeUnit.MILLISECONDS.toNanos(COPY_LIFETIME_MILLIS);

  /** How the owner handles a copy of a request for a job that it has no record of. */
  public enum Decision {
    /** The copy may be accepted. */
    ACCEPT,
    /** The request was refused after this copy was created. */
    REFUSED,
    /**
     * The copy is too old, or its request may have been refused by a previous owner, or it is
     * covered by a refusal that is no longer stored by key.
     */
    EXPIRED
  }

  private final TimeSource time;
  private final int maxRefusals;

  /**
   * Copies with a not-after time up to this value are refused, by request, oldest refusal first.
   */
  private final Map<JobKey, Long> refusedUntilNanos = new LinkedHashMap<>();

  /** Copies of any refusable request with a not-after time up to this value are expired. */
  private long allRefusedUntilNanos;

  /**
   * Creates the refusals of an owner that starts to serve now; {@code firstOwner} if the partition
   * never had another owner.
   */
  public RefusedRequests(TimeSource time, boolean firstOwner) {
    this(time, firstOwner, MAX_REFUSALS);
  }

  RefusedRequests(TimeSource time, boolean firstOwner, int maxRefusals) {
    this.time = time;
    this.maxRefusals = maxRefusals;
    // The refusals of a previous owner are not known here, but they were all made before this time.
    this.allRefusedUntilNanos = time.monotonicNanos() + (firstOwner ? 0 : COPY_LIFETIME_NANOS);
  }

  /**
   * Returns how to handle a copy of a request.
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

  /**
   * Records that a request is refused; copies of it that were created before now are not accepted.
   */
  public void refuse(JobKey job) {
    long nowNanos = time.monotonicNanos();
    refusedUntilNanos.remove(job);
    refusedUntilNanos.put(job, nowNanos + COPY_LIFETIME_NANOS);
    Iterator<Long> oldestFirst = refusedUntilNanos.values().iterator();
    while (oldestFirst.hasNext()) {
      long untilNanos = oldestFirst.next();
      if (untilNanos - nowNanos > 0) {
        if (refusedUntilNanos.size() <= maxRefusals) {
          return;
        }
        // The refusal is no longer stored by key, so every copy of the same age or older expires
        // instead.
        allRefusedUntilNanos =
            untilNanos - allRefusedUntilNanos > 0 ? untilNanos : allRefusedUntilNanos;
      }
      oldestFirst.remove();
    }
  }

  /** Returns the number of refusals that are stored by request key. */
  public int size() {
    return refusedUntilNanos.size();
  }
}
