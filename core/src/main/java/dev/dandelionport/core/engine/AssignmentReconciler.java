package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.ownership.AssignmentPlanner;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.ownership.PartitionOwner;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.SwapResult;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Reconciles the assignment table in the store with the planned assignment: adds this instance as a
 * member, claims partitions without a live owner, and hands over partitions that another member
 * should own. Guarded by the instance's shard; at most one write of the table is in flight.
 */
final class AssignmentReconciler {

  private static final long RETRY_MILLIS = 300;

  private final EngineContext context;
  private final InstanceInfo self;
  private final Shard shard;
  private final TimeSource time;
  private final LeaseManager lease;
  private final PromiseManager promises;
  private final ClaimGate claimGate;
  private final HostTable hosts;
  private final PermitManager permits;
  private final Runnable refresh;
  private final Set<PartitionId> releasing = new HashSet<>();
  private AssignmentTable table = AssignmentTable.EMPTY;
  private long revision;
  private Map<InstanceId, Long> liveSessions = Map.of();
  private Optional<Manifest> manifest = Optional.empty();
  private boolean controlStateReadable;
  private boolean swapInFlight;
  private boolean readPending;

  /**
   * Whether a table write failed and the table has not been read since; another write would fail in
   * the same way.
   */
  private boolean tableStale;

  private long lastSwapNanos;
  private boolean stopping;

  AssignmentReconciler(
      EngineContext context,
      Shard shard,
      LeaseManager lease,
      PromiseManager promises,
      HostTable hosts,
      PermitManager permits,
      Runnable refresh) {
    this.context = context;
    this.self = context.self();
    this.shard = shard;
    this.time = context.time();
    this.lease = lease;
    this.promises = promises;
    this.hosts = hosts;
    this.permits = permits;
    this.refresh = refresh;
    this.claimGate = new ClaimGate(context, shard, promises, this::reconcile);
    this.lastSwapNanos = time.monotonicNanos();
  }

  AssignmentTable table() {
    return table;
  }

  long revision() {
    return revision;
  }

  Map<InstanceId, Long> liveSessions() {
    return liveSessions;
  }

  /** Applies the result of a store read that was sent at {@code sentNanos}, and reconciles. */
  void onControlStateRead(
      ControlStateDecoder.DecodedState decoded, Optional<Manifest> newest, long sentNanos) {
    manifest = newest;
    if (swapInFlight) {
      readPending = true;
      return;
    }
    if (sentNanos - lastSwapNanos < 0) {
      // The read may predate this instance's own write. Revisions cannot show that, because they go
      // back when the store is restored.
      shard.runAfterUnlock(refresh);
      return;
    }
    controlStateReadable =
        decoded.isReadable(ControlKeys.ASSIGNMENT) && decoded.isReadable(ControlKeys.MEMBERS);
    if (!controlStateReadable) {
      return;
    }
    tableStale = false;
    liveSessions = decoded.liveSessions();
    if (decoded.table().version() < table.version()) {
      // The store was restored to an older state; write the newer table back, because epochs must
      // not decrease.
      revision = decoded.tableRevision();
      swapTable(table.withMembersAndOwners(table.members(), table.owners()));
      return;
    }
    table = decoded.table();
    revision = decoded.tableRevision();
    reconcile();
  }

  /** Compares the newest known state with the plan and starts the next change that is needed. */
  void reconcile() {
    Optional<LeaseManager.Session> s = lease.session();
    abandonLostPartitions(s.map(LeaseManager.Session::lease).orElse(0L));
    if (s.isEmpty()
        || manifest.isEmpty()
        || !controlStateReadable
        || stopping
        || swapInFlight
        || tableStale
        || liveSessions.getOrDefault(self.id(), 0L) != s.get().lease()) {
      return;
    }
    if (!self.equals(table.member(self.id()).orElse(null))) {
      claimGate.close();
      swapTable(table.withMember(self));
      return;
    }
    openOwnedPartitions(s.get());
    if (!claimGate.isOpen(table)) {
      claimGate.announce(table);
      return;
    }
    Map<PartitionId, InstanceId> plan =
        AssignmentPlanner.plan(table, liveSessions, manifest.get().partitions());
    if (!claimPartitions(plan, s.get())) {
      releasePartitions(plan);
      removeExpiredMembers();
    }
  }

  private void abandonLostPartitions(long session) {
    for (PartitionHost h : hosts.all()) {
      boolean owned =
          table
              .owner(h.partition())
              .filter(o -> o.equals(h.ownership()) && o.session() == session)
              .isPresent();
      if (!owned) {
        releasing.remove(h.partition());
        hosts.abandon(h.partition());
      }
    }
  }

  private void scheduleReconcile(long millis) {
    context.timer().schedule(millis, () -> shard.run(this::reconcile));
  }

  private boolean claimPartitions(Map<PartitionId, InstanceId> plan, LeaseManager.Session s) {
    Map<String, PartitionOwner> owners = new TreeMap<>(table.owners());
    boolean claimed = false;
    for (Map.Entry<PartitionId, InstanceId> e : plan.entrySet()) {
      boolean plannedHere = e.getValue().equals(self.id());
      if (plannedHere && AssignmentPlanner.liveOwner(table, liveSessions, e.getKey()).isEmpty()) {
        Optional<PartitionOwner> former = table.owner(e.getKey());
        long epoch = former.map(PartitionOwner::epoch).orElse(0L) + 1;
        // A partition without a former owner has no running attempts to wait for.
        owners.put(
            e.getKey().toString(),
            new PartitionOwner(self.id(), epoch, s.lease(), former.isEmpty()));
        claimed = true;
      }
    }
    if (!claimed) {
      return false;
    }
    long waitMillis = Math.max(promises.claimWaitMillis(), claimGate.waitMillis());
    if (waitMillis > 0) {
      scheduleReconcile(waitMillis + 1);
      return false;
    }
    swapTable(table.withMembersAndOwners(liveMembers(), owners));
    return true;
  }

  private Map<String, InstanceInfo> liveMembers() {
    Map<String, InstanceInfo> members = new TreeMap<>(table.members());
    members.keySet().removeIf(m -> !liveSessions.containsKey(new InstanceId(m)));
    return members;
  }

  /**
   * Removes members without a lease from the table. While the store is down, owners need a promise
   * from every listed member, and a failed member cannot give one. Only the live member with the
   * lowest id does this.
   */
  private void removeExpiredMembers() {
    boolean hasLowestId = liveSessions.keySet().stream().allMatch(m -> self.id().compareTo(m) <= 0);
    Map<String, InstanceInfo> members = liveMembers();
    if (hasLowestId && !swapInFlight && members.size() < table.members().size()) {
      swapTable(table.withMembersAndOwners(members, table.owners()));
    }
  }

  private void releasePartitions(Map<PartitionId, InstanceId> plan) {
    for (PartitionHost h : hosts.all()) {
      PartitionId p = h.partition();
      InstanceId plannedOwner = plan.get(p);
      if (plannedOwner != null && !plannedOwner.equals(self.id()) && releasing.add(p)) {
        hosts.release(p).whenComplete((v, e) -> shard.run(() -> onHostClosed(p, e)));
      }
    }
  }

  private void onHostClosed(PartitionId p, Throwable e) {
    if (e == null) {
      handOver(p);
    } else {
      // The host stopped on its own; the partition is opened again and moved later.
      releasing.remove(p);
    }
  }

  /** Hands a closed partition over to its planned owner, or reopens it if that is this instance. */
  private void handOver(PartitionId p) {
    Optional<PartitionHost> h = hosts.host(p);
    if (h.isEmpty()) {
      releasing.remove(p);
      return;
    }
    if (!releasing.contains(p) || stopping) {
      return;
    }
    if (swapInFlight || tableStale || manifest.isEmpty()) {
      context.timer().schedule(RETRY_MILLIS / 6, () -> shard.run(() -> handOver(p)));
      return;
    }
    InstanceId newOwner =
        AssignmentPlanner.plan(table, liveSessions, manifest.get().partitions())
            .getOrDefault(p, self.id());
    if (newOwner.equals(self.id())) {
      releasing.remove(p);
      hosts.remove(p);
      reconcile();
      return;
    }
    swapTable(table.withMembersAndOwners(table.members(), withOwner(table.owners(), p, newOwner)));
    // If the write fails, the host still exists and the hand-over is retried.
    context.timer().schedule(RETRY_MILLIS, () -> shard.run(() -> handOver(p)));
  }

  private Map<String, PartitionOwner> withOwner(
      Map<String, PartitionOwner> owners, PartitionId p, InstanceId newOwner) {
    Map<String, PartitionOwner> next = new TreeMap<>(owners);
    long epoch = next.get(p.toString()).epoch() + 1;
    next.put(
        p.toString(),
        new PartitionOwner(newOwner, epoch, liveSessions.getOrDefault(newOwner, 0L), true));
    return next;
  }

  private void openOwnedPartitions(LeaseManager.Session s) {
    Manifest m = manifest.orElseThrow();
    for (PartitionId p : m.partitions()) {
      table
          .owner(p)
          .filter(o -> o.owner().equals(self.id()) && o.session() == s.lease())
          .ifPresent(
              o -> {
                hosts.open(p, o, s, m, permits);
                permits.updateTable(p, o.epoch(), m);
              });
    }
  }

  private CompletableFuture<Boolean> swapTable(AssignmentTable next) {
    CompletableFuture<Boolean> done = new CompletableFuture<>();
    swapInFlight = true;
    long expected = revision;
    shard.runAfterUnlock(
        () ->
            context
                .store()
                .compareAndSwap(
                    ControlKeys.ASSIGNMENT,
                    expected,
                    JsonCodec.encode(next),
                    KeyValueStore.NO_LEASE)
                .whenComplete(
                    (r, e) -> {
                      shard.run(() -> onTableSwapped(next, r, e));
                      done.complete(e == null && r.swapped());
                    }));
    return done;
  }

  private void onTableSwapped(AssignmentTable next, SwapResult result, Throwable error) {
    swapInFlight = false;
    lastSwapNanos = time.monotonicNanos();
    if (error == null && result.swapped()) {
      table = next;
      revision = result.revision();
      shard.runAfterUnlock(() -> promises.announce(next, List.copyOf(next.members().values())));
    }
    final boolean swapped = error == null && result.swapped();
    tableStale = !swapped;
    final boolean rereadRequired = readPending;
    readPending = false;
    shard.runAfterUnlock(
        () -> {
          if (error == null) {
            context.observer().accept(new EngineEvent.AssignmentSwapped(next.version(), swapped));
          }
          if (!swapped || rereadRequired) {
            // If only the reply was lost, the write may have succeeded; the next read shows which.
            context.timer().schedule(error == null ? 0 : RETRY_MILLIS, refresh);
          }
        });
    if (swapped) {
      reconcile();
    }
  }

  /**
   * Removes this instance from the table and assigns its partitions to other members. Completes
   * after the write succeeded or {@code tries} are used up.
   */
  CompletableFuture<Void> leave(int tries) {
    stopping = true;
    Optional<Manifest> m = manifest;
    if (m.isEmpty() || tries == 0 || table.member(self.id()).isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> done = new CompletableFuture<>();
    if (swapInFlight || tableStale) {
      scheduleLeave(tries - 1, done);
    } else {
      swapTable(withoutSelf(m.get()))
          .thenAccept(
              ok -> {
                if (ok) {
                  done.complete(null);
                } else {
                  scheduleLeave(tries - 1, done);
                }
              });
    }
    return done;
  }

  private AssignmentTable withoutSelf(Manifest m) {
    Map<String, InstanceInfo> members = new TreeMap<>(table.members());
    members.remove(self.id().value());
    AssignmentTable without = new AssignmentTable(table.version(), members, table.owners());
    Map<String, PartitionOwner> owners = table.owners();
    for (Map.Entry<PartitionId, InstanceId> e :
        AssignmentPlanner.plan(without, liveSessions, m.partitions()).entrySet()) {
      boolean ownedHere =
          table.owner(e.getKey()).filter(o -> o.owner().equals(self.id())).isPresent();
      if (ownedHere) {
        owners = withOwner(owners, e.getKey(), e.getValue());
      }
    }
    return table.withMembersAndOwners(members, owners);
  }

  private void scheduleLeave(int tries, CompletableFuture<Void> done) {
    context
        .timer()
        .schedule(
            RETRY_MILLIS,
            () -> shard.call(() -> leave(tries)).whenComplete((v, e) -> done.complete(null)));
  }
}
