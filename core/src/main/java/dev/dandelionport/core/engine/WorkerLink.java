package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.ClockDrift;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** State of a host's communication with one worker. Guarded by the partition's shard. */
final class WorkerLink {

  /** The short lease of an attempt that was started before its records were durable. */
  static final class ShortLease {
    final long notAfterWorkerMillis;
    boolean durable;

    ShortLease(long notAfterWorkerMillis) {
      this.notAfterWorkerMillis = notAfterWorkerMillis;
    }
  }

  final Map<AttemptId, ShortLease> shortLeases = new HashMap<>();
  WorkerInfo info;
  long ackedEvent;
  boolean responsive;
  boolean everAnswered;
  boolean lost;
  boolean syncInFlight;

  /** Number of the last sync that was sent; replies to earlier syncs are ignored. */
  long lastSyncNumber;

  /**
   * When the last sync was sent, whether the worker may delay its reply until there is news, and
   * whether it renews no lease.
   */
  long syncSentNanos;

  boolean syncIsLongPoll;
  boolean syncRenewsNoLease;

  /** Number of the last scheduled sync; timers of earlier ones do nothing. */
  long scheduledSyncNumber;

  /** Time at which every lease granted by this owner or a former one has certainly expired. */
  long leasesEndNanos;

  private long workerClockMillis;
  private long lastReplyNanos;
  private long unansweredSinceNanos;
  private long startNotAfterWorkerMillis;
  private boolean lastReplyIdle;

  WorkerLink(WorkerInfo info, long leasesEndNanos) {
    this.info = info;
    this.leasesEndNanos = leasesEndNanos;
  }

  void onReply(SyncReply r, long now) {
    responsive = true;
    everAnswered = true;
    lost = false;
    workerClockMillis = r.workerClockMillis();
    lastReplyNanos = now;
    lastReplyIdle = r.running().isEmpty() && r.finished().isEmpty();
  }

  /** Records that a sync failed or was not answered. */
  void onNoReply(long now) {
    if (responsive) {
      unansweredSinceNanos = now;
    }
    responsive = false;
  }

  /**
   * Returns whether all leases have expired and the worker has not answered for {@code
   * timeoutNanos} or has never answered.
   */
  boolean isLost(long nowNanos, long timeoutNanos) {
    return nowNanos - leasesEndNanos > 0
        && (!everAnswered || nowNanos - unansweredSinceNanos >= timeoutNanos);
  }

  /**
   * Records the time on the worker's clock after which it refuses a start command that was sent.
   */
  void recordStart(long notAfterWorkerMillis) {
    startNotAfterWorkerMillis = Math.max(startNotAfterWorkerMillis, notAfterWorkerMillis);
  }

  /**
   * Returns whether the worker ran nothing at its last reply and no start command can be in flight.
   */
  boolean isIdle() {
    return lastReplyIdle && shortLeases.isEmpty() && workerClockMillis > startNotAfterWorkerMillis;
  }

  /**
   * Returns a time on the worker's clock that is reached no later than {@code allowedMillis} from
   * now on this instance's clock. The transit time of the last reply makes the result earlier,
   * never later. The last reply may be a minute old, so the age is corrected for clocks that run at
   * different speeds.
   */
  long toWorkerClock(long nowNanos, long allowedMillis) {
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastReplyNanos);
    return workerClockMillis + ClockDrift.minElapsed(ageMillis) + allowedMillis;
  }

  /** Records that a lease of {@code leaseMillis} may begin up to {@code allowedMillis} from now. */
  void recordLease(long nowNanos, long allowedMillis, long leaseMillis) {
    long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(allowedMillis + leaseMillis);
    leasesEndNanos = leasesEndNanos - endNanos > 0 ? leasesEndNanos : endNanos;
  }

  /** Returns the attempts under short leases whose records have become durable. */
  List<AttemptId> durableAttempts() {
    return shortLeases.entrySet().stream()
        .filter(e -> e.getValue().durable)
        .map(Map.Entry::getKey)
        .toList();
  }
}
