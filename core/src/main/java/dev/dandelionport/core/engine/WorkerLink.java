package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.ClockDrift;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What a host knows about its exchange with one worker. Guarded by the partition's shard. */
final class WorkerLink {

  /** An attempt under a short lease. */
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

  /** Number of the sync that was sent last; replies to older ones are ignored. */
  long lastSyncNumber;

  /** When the last sync was sent, whether it waits for news, and whether it renews no lease. */
  long syncSentNanos;

  boolean syncIsLongPoll;
  boolean syncRenewsNoLease;

  /** Number of the sync that is due next; an older timer does nothing. */
  long scheduledSyncNumber;

  /** When every lease that this owner or a former one gave has certainly ended. */
  long leasesEndNanos;

  private long workerClockMillis;
  private long lastReplyNanos;
  private long silentSinceNanos;
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

  /** Notes that a sync was not answered. */
  void onNoReply(long now) {
    if (responsive) {
      silentSinceNanos = now;
    }
    responsive = false;
  }

  /** Returns whether no lease is left and the worker has been silent for {@code silence}. */
  boolean isLost(long now, long silence) {
    return now - leasesEndNanos > 0 && (!everAnswered || now - silentSinceNanos >= silence);
  }

  /** Notes the time on the worker's clock after which it refuses a start that was sent. */
  void recordStart(long notAfterWorkerMillis) {
    startNotAfterWorkerMillis = Math.max(startNotAfterWorkerMillis, notAfterWorkerMillis);
  }

  /** Returns whether the worker ran nothing when it last replied and no start can be under way. */
  boolean isIdle() {
    return lastReplyIdle && shortLeases.isEmpty() && workerClockMillis > startNotAfterWorkerMillis;
  }

  /**
   * Returns the time on the worker's clock that has certainly not come before {@code allowedMillis}
   * from now have passed on ours; the reply's way back makes it early, never late. The last reply
   * may be a minute old, so clocks that run at different speeds are allowed for.
   */
  long toWorkerClock(long now, long allowedMillis) {
    long age = TimeUnit.NANOSECONDS.toMillis(now - lastReplyNanos);
    return workerClockMillis + ClockDrift.minElapsed(age) + allowedMillis;
  }

  /** Notes that a lease of {@code leaseMillis} may begin until {@code allowedMillis} from now. */
  void recordLease(long now, long allowedMillis, long leaseMillis) {
    long end = now + TimeUnit.MILLISECONDS.toNanos(allowedMillis + leaseMillis);
    leasesEndNanos = leasesEndNanos - end > 0 ? leasesEndNanos : end;
  }

  /** Returns the attempts under short leases whose records are durable. */
  List<AttemptId> durableAttempts() {
    return shortLeases.entrySet().stream()
        .filter(e -> e.getValue().durable)
        .map(Map.Entry::getKey)
        .toList();
  }
}
