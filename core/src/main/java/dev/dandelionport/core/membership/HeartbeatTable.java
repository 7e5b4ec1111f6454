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
 * When each member was last heard from. A suspicion only makes requests go around a member and
 * makes the control state be read sooner; ownership follows the store alone. Thread-safe.
 */
public final class HeartbeatTable {

  /**
   * Interval of heartbeats, in milliseconds. With 8 peers, one each 500 ms took more bytes than all
   * control traffic may; manifests and tables are pushed and do not wait for it.
   */
  public static final long INTERVAL_MILLIS = 1_000;

  /**
   * Silence after which a member is suspected, in milliseconds; two heartbeats were missed. The
   * reads that follow begin when the member's lease of 2 s ends, in time for a takeover in 4.6 s.
   */
  public static final long SUSPECT_TIMEOUT_MILLIS = 2_100;

  private final TimeSource time;
  private final Map<InstanceId, Long> lastHeartbeatNanos = new HashMap<>();
  private final Set<InstanceId> suspects = new HashSet<>();

  /** Creates an empty table. */
  public HeartbeatTable(TimeSource time) {
    this.time = time;
  }

  /** Notes that a member was heard from. */
  public synchronized void recordHeartbeat(InstanceId id) {
    if (lastHeartbeatNanos.containsKey(id)) {
      lastHeartbeatNanos.put(id, time.monotonicNanos());
      suspects.remove(id);
    }
  }

  /** Takes over the list of other members and returns those that have become suspects. */
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
