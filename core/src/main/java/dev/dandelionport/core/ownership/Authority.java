package dev.dandelionport.core.ownership;

import dev.dandelionport.core.common.TimeSource;
import java.util.concurrent.TimeUnit;

/**
 * The time limit up to which this instance may act as the owner of its partitions during one
 * membership session. The limit is measured on the monotonic clock from the time at which a
 * successful lease renewal, or a request that all peers answered with a promise, was sent. It
 * always lies before the expiry of the lease in the store, or before the end of the promises.
 * Revocation is permanent: a new session has a new authority, so that work started under the old
 * one can no longer take effect. Thread-safe.
 */
public final class Authority {

  /**
   * Time to live of an instance lease, in milliseconds; a whole number of seconds because the store
   * counts leases in seconds.
   */
  public static final long LEASE_MILLIS = 2_000;

  /** Time by which authority ends before the lease, in milliseconds, to allow for clock drift. */
  public static final long SAFETY_MARGIN_MILLIS = 300;

  private final TimeSource time;
  private long expiresNanos;
  private boolean held;
  private boolean revoked;

  /** Creates an authority that is not held. */
  public Authority(TimeSource time) {
    this.time = time;
  }

  /** Extends authority after a renewal that was sent at {@code sentNanos} succeeded. */
  public void extendAfterRenewal(long sentNanos) {
    extend(sentNanos, LEASE_MILLIS);
  }

  /** Extends authority by promises that hold for {@code holdMillis} from {@code sentNanos} on. */
  public void extendAfterPromises(long sentNanos, long holdMillis) {
    extend(sentNanos, holdMillis);
  }

  private synchronized void extend(long sentNanos, long validMillis) {
    long newExpiresNanos =
        sentNanos + TimeUnit.MILLISECONDS.toNanos(validMillis - SAFETY_MARGIN_MILLIS);
    if (!revoked && (!held || newExpiresNanos - expiresNanos > 0)) {
      expiresNanos = newExpiresNanos;
      held = true;
    }
  }

  /** Ends authority immediately and permanently. */
  public synchronized void revoke() {
    revoked = true;
    held = false;
  }

  /** Returns whether the instance may act as an owner now. */
  public synchronized boolean isHeld() {
    return held && expiresNanos - time.monotonicNanos() > 0;
  }

  /** Returns the remaining authority in milliseconds, 0 if there is none. */
  public synchronized long remainingMillis() {
    return held
        ? Math.max(0, TimeUnit.NANOSECONDS.toMillis(expiresNanos - time.monotonicNanos()))
        : 0;
  }
}
