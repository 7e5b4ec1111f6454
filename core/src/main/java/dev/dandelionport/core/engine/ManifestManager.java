package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.KeyValueStore;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Holds the newest manifest that this instance has received and the time at which it was last
 * confirmed to be the newest in the cell. Thread-safe; callbacks run without the lock.
 */
final class ManifestManager {

  /** Time after a confirmation during which tasks may start, in milliseconds. */
  static final long CONFIRMATION_VALID_MILLIS = 3_000;

  private final KeyValueStore store;
  private final TimeSource time;
  private final Consumer<EngineEvent> observer;
  private final Consumer<Manifest> onAdopted;
  private Manifest newest;
  private long confirmedNanos;
  private boolean everConfirmed;
  private boolean wasStale;

  ManifestManager(EngineContext context, Consumer<Manifest> onAdopted) {
    this.store = context.store();
    this.time = context.time();
    this.observer = context.observer();
    this.onAdopted = onAdopted;
  }

  synchronized Optional<Manifest> newest() {
    return Optional.ofNullable(newest);
  }

  /**
   * Returns how long the last confirmation remains valid, in milliseconds; 0 if there is none or it
   * has expired.
   */
  synchronized long confirmationRemainingMillis() {
    if (!everConfirmed || newest == null) {
      return 0;
    }
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - confirmedNanos);
    return Math.max(0, CONFIRMATION_VALID_MILLIS - ageMillis);
  }

  /** Adopts a manifest from a peer or the store if it is newer than the current one. */
  void adopt(Manifest m) {
    synchronized (this) {
      if (newest != null && newest.version() >= m.version()) {
        return;
      }
      newest = m;
    }
    observer.accept(new EngineEvent.ManifestAdopted(m.version()));
    onAdopted.accept(m);
  }

  /**
   * Records that no newer manifest existed at {@code sentNanos}; an older confirmation is ignored.
   */
  synchronized void recordConfirmation(long sentNanos) {
    if (!everConfirmed || sentNanos - confirmedNanos > 0) {
      confirmedNanos = sentNanos;
      everConfirmed = true;
    }
  }

  /** Returns the newest known version and how long ago it was confirmed. */
  synchronized PeerMessage.HeartbeatAck confirmation() {
    long version = newest == null ? 0 : newest.version();
    return new PeerMessage.HeartbeatAck(version, confirmationAgeMillis());
  }

  /** Returns the time since the last confirmation, rounded up; negative if there was none. */
  synchronized long confirmationAgeMillis() {
    if (!everConfirmed) {
      return -1;
    }
    return TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - confirmedNanos) + 1;
  }

  /**
   * Applies a peer's confirmation, which answers a message sent at {@code sentNanos}. The answer
   * was created after that time, so the confirmation was made no earlier than its age before {@code
   * sentNanos}. Returns whether the peer has a newer manifest; then nothing is confirmed.
   */
  synchronized boolean applyPeerConfirmation(
      PeerMessage.HeartbeatAck confirmation, long sentNanos) {
    if (confirmation.manifestVersion() > (newest == null ? 0 : newest.version())) {
      return true;
    }
    if (confirmation.confirmedAgeMillis() >= 0) {
      recordConfirmation(
          sentNanos - TimeUnit.MILLISECONDS.toNanos(confirmation.confirmedAgeMillis()));
    }
    return false;
  }

  /**
   * Applies the result of a store read that was sent at {@code sentNanos}: adopts a newer manifest,
   * records the confirmation, and restores the stored manifest if it is older.
   */
  void onControlStateRead(ControlStateDecoder.DecodedState decoded, long sentNanos) {
    if (!decoded.isReadable(ControlKeys.MANIFEST)) {
      // The unreadable value may be a newer manifest, so nothing is confirmed.
      return;
    }
    decoded.manifest().ifPresent(this::adopt);
    recordConfirmation(sentNanos);
    long storedVersion = decoded.manifest().map(Manifest::version).orElse(0L);
    newest()
        .filter(m -> m.version() > storedVersion)
        .ifPresent(m -> restore(m, storedVersion, decoded));
  }

  /** Writes the newest manifest back after the store was restored to an older one. */
  private void restore(Manifest m, long storedVersion, ControlStateDecoder.DecodedState decoded) {
    store
        .compareAndSwap(
            ControlKeys.MANIFEST,
            decoded.manifestRevision(),
            JsonCodec.encode(m),
            KeyValueStore.NO_LEASE)
        .whenComplete(
            (r, e) -> {
              if (e == null && r.swapped()) {
                observer.accept(
                    new EngineEvent.AlertRaised(
                        AlertCode.MANIFEST_RESTORED,
                        "the store had version "
                            + storedVersion
                            + "; wrote "
                            + m.version()
                            + " back"));
              }
            });
  }

  /** Reports once when the confirmation of the manifest has expired. */
  void tick() {
    boolean report;
    long version;
    synchronized (this) {
      boolean isStale = newest != null && confirmationRemainingMillis() == 0;
      report = isStale && !wasStale;
      wasStale = isStale;
      version = newest == null ? 0 : newest.version();
    }
    if (report) {
      observer.accept(new EngineEvent.ManifestStale(version));
    }
  }
}
