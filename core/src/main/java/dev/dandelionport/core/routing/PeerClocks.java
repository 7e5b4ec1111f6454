package dev.dandelionport.core.routing;

import dev.dandelionport.core.common.ClockDrift;
import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerClient;
import dev.dandelionport.core.port.PeerException;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Converts local times to the monotonic clocks of other instances, which have different origins. A
 * converted time is never later than the exact one, because a peer reads its clock before its
 * answer arrives here. Thread-safe.
 */
public final class PeerClocks {

  /** Maximum age of a clock reading, which keeps drift small, in nanoseconds. */
  private static final long MAX_READING_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Timeout of a request for a peer's clock, in milliseconds. */
  private static final long READ_TIMEOUT_MILLIS = 500;

  private record Reading(long peerNanos, long localNanos) {}

  private final PeerClient peers;
  private final TimeSource time;
  private final Map<InstanceId, Reading> readings = new ConcurrentHashMap<>();
  private final Map<InstanceId, CompletableFuture<Void>> pendingReads = new ConcurrentHashMap<>();

  /** Creates a converter without clock readings. */
  public PeerClocks(PeerClient peers, TimeSource time) {
    this.peers = peers;
    this.time = time;
  }

  /**
   * Returns a local time as a time on the clock of {@code peer}, or empty if there is no recent
   * reading; {@link #refresh} obtains one.
   */
  public OptionalLong toPeerNanos(InstanceId peer, long localNanos) {
    Reading r = readings.get(peer);
    if (r == null || !isFresh(r)) {
      return OptionalLong.empty();
    }
    long elapsedNanos = localNanos - r.localNanos();
    return OptionalLong.of(r.peerNanos() + ClockDrift.minElapsed(elapsedNanos));
  }

  private boolean isFresh(Reading r) {
    return time.monotonicNanos() - r.localNanos() <= MAX_READING_AGE_NANOS;
  }

  /** Reads the clock of a peer; concurrent callers share one request. */
  public CompletableFuture<Void> refresh(InstanceInfo peer) {
    CompletableFuture<Void> pending = new CompletableFuture<>();
    CompletableFuture<Void> inProgress = pendingReads.putIfAbsent(peer.id(), pending);
    if (inProgress != null) {
      return inProgress;
    }
    requestClock(peer)
        .whenComplete(
            (m, e) -> {
              if (m instanceof PeerMessage.ClockAnswer c) {
                readings.values().removeIf(r -> !isFresh(r));
                readings.put(peer.id(), new Reading(c.nanos(), time.monotonicNanos()));
              }
              pendingReads.remove(peer.id(), pending);
              if (m instanceof PeerMessage.ClockAnswer) {
                pending.complete(null);
              } else {
                pending.completeExceptionally(
                    new PeerException("no clock reading from " + peer.id(), false, e));
              }
            });
    return pending;
  }

  private CompletableFuture<PeerMessage> requestClock(InstanceInfo peer) {
    try {
      return peers.request(peer, new PeerMessage.ClockCall(), READ_TIMEOUT_MILLIS);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }
}
