package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.RetryDelay;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.ownership.Authority;
import dev.dandelionport.core.ownership.Member;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.SwapResult;
import dev.dandelionport.core.port.Timer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Registers the instance as a member under a store lease and renews the lease. Each registration
 * creates a new session with its own authority. Thread-safe: the steps of a registration run one
 * after another, and the session is volatile.
 */
final class LeaseManager {

  /**
   * Interval of renewals, in milliseconds; a third of the lease, so that a single renewal may fail.
   */
  private static final long RENEW_INTERVAL_MILLIS = Authority.LEASE_MILLIS / 3;

  private static final long RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 1_000;

  /** One registration: the lease id and the authority derived from the lease. */
  record Session(long lease, Authority authority) {}

  /** Receives changes of the registration. */
  interface Listener {
    /** The instance is registered. */
    void joined(Session s);

    /** The lease has expired in the store; the session's authority is revoked. */
    void lost(Session s);
  }

  private final InstanceInfo self;
  private final KeyValueStore store;
  private final TimeSource time;
  private final Timer timer;
  private final Listener listener;
  private final RetryDelay backoff;
  private volatile Session session;
  private volatile boolean stopped;

  LeaseManager(EngineContext context, Listener listener) {
    this.self = context.self();
    this.store = context.store();
    this.time = context.time();
    this.timer = context.timer();
    this.listener = listener;
    this.backoff = new RetryDelay(RETRY_MILLIS, MAX_RETRY_MILLIS, self.id().hashCode());
  }

  void start() {
    grant();
  }

  /** Returns the current session, if the instance is registered. */
  Optional<Session> session() {
    return Optional.ofNullable(session);
  }

  /** Stops renewing, revokes the authority and the lease; completes when the store has answered. */
  CompletableFuture<Void> stop() {
    stopped = true;
    Session s = session;
    session = null;
    if (s == null) {
      return CompletableFuture.completedFuture(null);
    }
    s.authority().revoke();
    return store.revokeLease(s.lease());
  }

  private void grant() {
    if (stopped) {
      return;
    }
    long sentNanos = time.monotonicNanos();
    // If the reply is lost, the lease id is unknown; the lease expires because it is never renewed.
    store
        .grantLease(Authority.LEASE_MILLIS)
        .whenComplete(
            (lease, e) -> {
              if (e != null) {
                timer.schedule(backoff.nextMillis(), this::grant);
              } else {
                register(lease, sentNanos, KeyValueStore.ABSENT);
              }
            });
  }

  private void register(long lease, long sentNanos, long expectedRevision) {
    if (stopped) {
      return;
    }
    byte[] value = JsonCodec.encode(new Member(self, lease));
    store
        .compareAndSwap(ControlKeys.member(self.id()), expectedRevision, value, lease)
        .whenComplete(
            (r, e) -> {
              if (e != null) {
                timer.schedule(backoff.nextMillis(), () -> checkLease(lease));
              } else if (r.swapped() || isOwn(r, lease)) {
                onRegistered(lease, sentNanos);
              } else {
                // Only this instance writes the key, so the stored value is left over from an older
                // session.
                long currentRevision =
                    r.current().map(StoreEntry::revision).orElse(KeyValueStore.ABSENT);
                register(lease, sentNanos, currentRevision);
              }
            });
  }

  private static boolean isOwn(SwapResult r, long lease) {
    try {
      return r.current()
          .map(c -> JsonCodec.decode(c.value(), Member.class).session() == lease)
          .orElse(false);
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /**
   * Continues the registration with the same lease if it is still valid; the write whose reply was
   * lost may have succeeded.
   */
  private void checkLease(long lease) {
    if (stopped) {
      return;
    }
    long sentNanos = time.monotonicNanos();
    store
        .keepAlive(lease)
        .whenComplete(
            (alive, e) -> {
              if (e != null) {
                timer.schedule(backoff.nextMillis(), () -> checkLease(lease));
              } else if (alive) {
                register(lease, sentNanos, KeyValueStore.ABSENT);
              } else {
                grant();
              }
            });
  }

  private void onRegistered(long lease, long sentNanos) {
    backoff.reset();
    Session s = new Session(lease, new Authority(time));
    s.authority().extendAfterRenewal(sentNanos);
    session = s;
    timer.schedule(RENEW_INTERVAL_MILLIS, () -> renew(s));
    listener.joined(s);
  }

  /** Renews at a fixed rate; a renewal that is not answered does not delay the next one. */
  private void renew(Session s) {
    if (stopped || session != s) {
      return;
    }
    timer.schedule(RENEW_INTERVAL_MILLIS, () -> renew(s));
    long sentNanos = time.monotonicNanos();
    store
        .keepAlive(s.lease())
        .whenComplete(
            (alive, e) -> {
              if (e == null && alive) {
                s.authority().extendAfterRenewal(sentNanos);
              } else if (e == null && session == s) {
                session = null;
                s.authority().revoke();
                listener.lost(s);
                timer.schedule(backoff.nextMillis(), this::grant);
              }
            });
  }
}
