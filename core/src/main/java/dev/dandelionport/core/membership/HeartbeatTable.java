package dev.dandelionport.core.membership;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.common.TimeSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Failure detector that stores the time of the last heartbeat of each member. Suspecting a member
 * only diverts requests from it and triggers an earlier read of the control state; ownership
 * depends on the store alone. Thread-safe.
 */
public final class HeartbeatTable {

  /**
   * Interval of heartbeats, in milliseconds. With 8 peers, an interval of 500 ms exceeded the byte
   * limit of all control traffic. Manifests and assignment tables are pushed and do not wait for a
   * heartbeat.
   */
  public static final long INTERVAL_MILLIS = 1_000;

  /**
   * Time without a heartbeat after which a member is suspected, in milliseconds; two heartbeats are
   * then missing. The control state is read when the member's lease of 2 s has ended, which allows
   * a takeover within 4.6 s.
   */
  public static final long SUSPECT_TIMEOUT_MILLIS = 2_100;

  private final TimeSource time;
  private final Map<InstanceId, Long> lastHeartbeatNanos = new HashMap<>();
  private final Set<InstanceId> suspects = new HashSet<>();

  /** Creates an empty table. */
  public HeartbeatTable(TimeSource time) {
    this.time = time;
  }

  /**
   * Records a heartbeat of a member and clears its suspicion; ignores instances that are not
   * members.
   */
  public synchronized void recordHeartbeat(InstanceId id) {
    if (lastHeartbeatNanos.containsKey(id)) {
      lastHeartbeatNanos.put(id, time.monotonicNanos());
      suspects.remove(id);
    }
  }

  /**
   * Replaces the list of other members and returns those that became suspected since the last call.
   */
  public synchronized List<InstanceId> updateMembers(Collection<InstanceId> others) {
    lastHeartbeatNanos.keySet().retainAll(others);
    suspects.retainAll(others);
    long now = time.monotonicNanos();
    others.forEach(o -> lastHeartbeatNanos.putIfAbsent(o, now));
    return lastHeartbeatNanos.entrySet().stream()
        .filter(e -> elapsedMillis(now, e.getValue()) >= SUSPECT_TIMEOUT_MILLIS)
        .map(Map.Entry::getKey)
        .filter(suspects::add)
        .toList();
  }

  private static long elapsedMillis(long nowNanos, long sinceNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
  }

  /** Returns the suspected members. */
  public synchronized Set<InstanceId> suspects() {
    return SortedCopies.of(suspects);
  }
}
