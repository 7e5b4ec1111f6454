package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Holds back the claims of a new member until another member of its region knows of it. From then
 * on that member promises nothing more to owners that do not know the new member, and what was
 * promised before ends after the time that it names. Guarded by the instance's shard.
 */
final class ClaimGate {

  /** Wait before members that did not answer are told again, in milliseconds. */
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
   * @param reconcile called with the shard locked when the gate may have opened
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

  /** Closes the gate because the instance enters the table. */
  void close() {
    joinedTable = true;
    acknowledged = false;
    joinedTableNanos = time.monotonicNanos();
  }

  /** Returns whether the instance may claim partitions, once {@link #waitMillis} has passed. */
  boolean isOpen(AssignmentTable table) {
    if (!acknowledged) {
      long since = TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - joinedTableNanos);
      acknowledged =
          regionPeers(table).isEmpty()
              || (joinedTable && since > PromiseManager.MAX_EXTENSION_MILLIS);
    }
    return acknowledged;
  }

  /** Returns how long promises that were given before still forbid a claim, in milliseconds. */
  long waitMillis() {
    return TimeUnit.NANOSECONDS.toMillis(claimNotBeforeNanos - time.monotonicNanos());
  }

  /** Tells the other members of the region that this one has entered the table. */
  void announce(AssignmentTable table) {
    if (announcing) {
      return;
    }
    announcing = true;
    List<InstanceInfo> to = regionPeers(table);
    shard.runAfterUnlock(
        () ->
            promises
                .announce(table, to)
                .whenComplete((wait, e) -> shard.run(() -> onAnnounceCompleted(wait, e))));
  }

  private void onAnnounceCompleted(Long waitMillis, Throwable e) {
    announcing = false;
    if (e == null) {
      acknowledged = true;
      claimNotBeforeNanos = time.monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
      reconcile.run();
    } else {
      context.timer().schedule(RETRY_MILLIS, () -> shard.run(reconcile));
    }
  }

  /** Returns the other members of the region; one whose address this instance has is gone. */
  private List<InstanceInfo> regionPeers(AssignmentTable table) {
    return table.members().values().stream()
        .filter(m -> m.region().equals(self.region()) && !m.id().equals(self.id()))
        .filter(m -> !(m.host().equals(self.host()) && m.port() == self.port()))
        .toList();
  }
}
