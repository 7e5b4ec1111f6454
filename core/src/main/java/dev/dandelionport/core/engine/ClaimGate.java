package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Blocks the claims of a new member until another member of its region has acknowledged the table
 * that lists it. From then on that member grants no promise to owners whose table lacks the new
 * member; promises granted before expire within the time given in the acknowledgement. Guarded by
 * the instance's shard.
 */
final class ClaimGate {

  /** Delay before the announcement is repeated to members that did not answer, in milliseconds. */
  private static final long RETRY_MILLIS = 300;

  private final EngineContext context;
  private final InstanceInfo self;
  private final TimeSource time;
  private final Shard shard;
  private final PromiseManager promises;
  private final Runnable reconcile;
  private boolean joinedTable;
  private boolean announcing;
  private boolean acknowledged;
  private long joinedTableNanos;
  private long claimNotBeforeNanos;

  /**
   * Creates a closed gate.
   *
   * @param reconcile called with the shard locked after each announcement, when the gate may have
   *     opened
   */
  ClaimGate(EngineContext context, Shard shard, PromiseManager promises, Runnable reconcile) {
    this.context = context;
    this.self = context.self();
    this.time = context.time();
    this.shard = shard;
    this.promises = promises;
    this.reconcile = reconcile;
    this.claimNotBeforeNanos = time.monotonicNanos();
  }

  /** Closes the gate because the instance adds itself to the table. */
  void close() {
    joinedTable = true;
    acknowledged = false;
    joinedTableNanos = time.monotonicNanos();
  }

  /**
   * Returns whether the instance may claim partitions after {@link #waitMillis}: a member of the
   * region has acknowledged it, it has no peers in the region, or all possible promises have
   * expired.
   */
  boolean isOpen(AssignmentTable table) {
    if (!acknowledged) {
      long sinceJoinMillis =
          TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - joinedTableNanos);
      acknowledged =
          regionPeers(table).isEmpty()
              || (joinedTable && sinceJoinMillis > PromiseManager.MAX_EXTENSION_MILLIS);
    }
    return acknowledged;
  }

  /**
   * Returns the time until promises given earlier no longer prevent a claim, in milliseconds; not
   * positive if none does.
   */
  long waitMillis() {
    return TimeUnit.NANOSECONDS.toMillis(claimNotBeforeNanos - time.monotonicNanos());
  }

  /** Sends the table that lists this instance to the other members of the region. */
  void announce(AssignmentTable table) {
    if (announcing) {
      return;
    }
    announcing = true;
    List<InstanceInfo> peers = regionPeers(table);
    shard.runAfterUnlock(
        () ->
            promises
                .announce(table, peers)
                .whenComplete((wait, e) -> shard.run(() -> onAnnounceCompleted(wait, e))));
  }

  private void onAnnounceCompleted(Long waitMillis, Throwable error) {
    announcing = false;
    if (error == null) {
      acknowledged = true;
      claimNotBeforeNanos = time.monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
      reconcile.run();
    } else {
      context.timer().schedule(RETRY_MILLIS, () -> shard.run(reconcile));
    }
  }

  /**
   * Returns the other members of the region. A member with this instance's address is left out: it
   * is a former process that no longer runs.
   */
  private List<InstanceInfo> regionPeers(AssignmentTable table) {
    return table.members().values().stream()
        .filter(m -> m.region().equals(self.region()) && !m.id().equals(self.id()))
        .filter(m -> !(m.host().equals(self.host()) && m.port() == self.port()))
        .toList();
  }
}
