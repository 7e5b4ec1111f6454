package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.journal.JournalException;
import dev.dandelionport.core.journal.WriteBudget;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.ownership.PartitionOwner;
import dev.dandelionport.core.port.Timer;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.routing.HomePartition;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Holds the partition hosts of this instance and distributes workers, manifests and permits to
 * them. Guarded by the instance's shard.
 */
final class HostTable {

  /** Interval at which the instance list is read, in milliseconds. */
  private static final long LIST_INTERVAL_MILLIS = 1_000;

  /** Delay before a partition whose host stopped is opened again, in milliseconds. */
  private static final long REOPEN_DELAY_MILLIS = 1_000;

  /**
   * Maximum number of reads between two updates of the hosts. Most lists equal the previous one and
   * are not sent again; the regular repetition corrects the case that two changes reached a host in
   * reverse order.
   */
  private static final int MAX_READS_BETWEEN_UPDATES = 10;

  private final EngineContext context;
  private final Shard shard;
  private final Timer timer;
  private final WriteBudget budget;
  private final LongSupplier confirmationRemainingMillis;
  private final Runnable reconcile;
  private final Map<PartitionId, PartitionHost> hosts = new TreeMap<>();
  private final Set<PartitionId> serving = new HashSet<>();
  private Optional<List<WorkerInfo>> workers = Optional.empty();
  private int readsSinceUpdate;
  private long hostCount;
  private boolean stopped;

  /**
   * Creates an empty table.
   *
   * @param reconcile called, without the shard locked, after a host has stopped, so that its
   *     partition is opened again
   */
  HostTable(
      EngineContext context,
      Shard shard,
      LongSupplier confirmationRemainingMillis,
      Runnable reconcile) {
    this.context = context;
    this.shard = shard;
    this.timer = context.timer();
    this.budget = new WriteBudget(context.time());
    this.confirmationRemainingMillis = confirmationRemainingMillis;
    this.reconcile = reconcile;
  }

  /** Returns the host that serves a partition. */
  Optional<PartitionHost> serving(PartitionId p) {
    return serving.contains(p) ? Optional.ofNullable(hosts.get(p)) : Optional.empty();
  }

  Set<PartitionId> serving() {
    return SortedCopies.of(serving);
  }

  /** Returns the workers of the region from the last read of the instance list. */
  List<WorkerInfo> workers() {
    return workers.orElse(List.of());
  }

  List<PartitionHost> all() {
    return List.copyOf(hosts.values());
  }

  Optional<PartitionHost> host(PartitionId p) {
    return Optional.ofNullable(hosts.get(p));
  }

  /** Creates a host for a partition and opens it, unless the partition has one. */
  void open(
      PartitionId p,
      PartitionOwner owner,
      LeaseManager.Session session,
      Manifest manifest,
      PermitManager permits) {
    if (stopped || hosts.containsKey(p)) {
      return;
    }
    HostContext c =
        new HostContext(context, session.authority(), confirmationRemainingMillis, budget);
    PartitionHost h =
        new PartitionHost(
            p, owner, c, manifest, permits.bounds(p, owner.epoch(), manifest), ++hostCount);
    hosts.put(p, h);
    h.lost().thenRun(() -> shard.run(() -> onHostLost(h)));
    Optional<List<WorkerInfo>> partitionWorkers = workers.map(w -> workersOf(p, w, manifest));
    shard.runAfterUnlock(
        () ->
            h.open(partitionWorkers)
                .whenComplete((v, e) -> shard.run(() -> onHostOpened(h, manifest, e))));
  }

  private void onHostOpened(PartitionHost host, Manifest manifest, Throwable error) {
    if (hosts.get(host.partition()) != host) {
      return;
    }
    if (error == null) {
      serving.add(host.partition());
      return;
    }
    Throwable cause = Failures.cause(error);
    shard.runAfterUnlock(
        () -> {
          host.abandon();
          if (cause instanceof JournalException) {
            context
                .observer()
                .accept(
                    new EngineEvent.AlertRaised(
                        AlertCode.JOURNAL_UNREADABLE,
                        host.partition() + ": " + cause.getMessage()));
          }
        });
  }

  /**
   * Removes a host that has stopped; reconciling then reopens the partition if this instance still
   * owns it.
   */
  private void onHostLost(PartitionHost host) {
    if (hosts.remove(host.partition(), host)) {
      serving.remove(host.partition());
      shard.runAfterUnlock(() -> timer.schedule(REOPEN_DELAY_MILLIS, reconcile));
    }
  }

  /** Removes and stops the host of a partition that this instance no longer owns. */
  void abandon(PartitionId p) {
    serving.remove(p);
    PartitionHost h = hosts.remove(p);
    if (h != null) {
      shard.runAfterUnlock(h::abandon);
    }
  }

  /**
   * Closes a host so that its partition can be handed over; completes after its last write, or
   * fails if the host stops before it.
   */
  CompletableFuture<Void> release(PartitionId p) {
    serving.remove(p);
    PartitionHost h = hosts.get(p);
    CompletableFuture<Void> done = new CompletableFuture<>();
    if (h == null) {
      done.complete(null);
      return done;
    }
    shard.runAfterUnlock(
        () ->
            h.close()
                .whenComplete(
                    (v, e) -> {
                      if (e == null) {
                        done.complete(null);
                      } else {
                        done.completeExceptionally(e);
                      }
                    }));
    return done;
  }

  /** Closes all hosts and prevents new ones; completes after the last writes of all hosts. */
  CompletableFuture<Void> releaseAll() {
    stopped = true;
    List<CompletableFuture<Void>> closing = new ArrayList<>();
    List.copyOf(hosts.keySet()).forEach(p -> closing.add(release(p)));
    return CompletableFuture.allOf(closing.toArray(CompletableFuture[]::new));
  }

  /** Removes a host that was released. */
  void remove(PartitionId p) {
    hosts.remove(p);
    serving.remove(p);
  }

  void manifestChanged(Manifest m, PermitManager permits) {
    hosts
        .values()
        .forEach(
            h -> {
              Optional<Map<TeamId, Integer>> bounds = permits.bounds(h.partition(), h.epoch(), m);
              shard.runAfterUnlock(() -> h.manifestChanged(m, bounds));
            });
    workers.ifPresent(w -> distribute(w, m));
  }

  void permitsChanged(Manifest m, PermitManager permits) {
    hosts
        .values()
        .forEach(
            h -> {
              Optional<Map<TeamId, Integer>> bounds = permits.bounds(h.partition(), h.epoch(), m);
              shard.runAfterUnlock(() -> h.permitsChanged(bounds));
            });
  }

  /** Reads the instance list periodically and distributes its workers to the hosts. */
  void pollInstanceList(ManifestManager manifests) {
    if (stopped) {
      return;
    }
    context
        .instanceList()
        .workers(context.self().region())
        .whenComplete(
            (list, e) -> {
              if (e == null) {
                shard.run(
                    () -> {
                      if (!workers.equals(Optional.of(list))
                          || ++readsSinceUpdate >= MAX_READS_BETWEEN_UPDATES) {
                        workers = Optional.of(List.copyOf(list));
                        manifests.newest().ifPresent(m -> distribute(list, m));
                      }
                    });
              }
              timer.schedule(LIST_INTERVAL_MILLIS, () -> pollInstanceList(manifests));
            });
  }

  private void distribute(List<WorkerInfo> list, Manifest m) {
    readsSinceUpdate = 0;
    hosts
        .values()
        .forEach(
            h -> {
              List<WorkerInfo> partitionWorkers = workersOf(h.partition(), list, m);
              shard.runAfterUnlock(() -> h.workersChanged(partitionWorkers));
            });
  }

  private static List<WorkerInfo> workersOf(PartitionId p, List<WorkerInfo> list, Manifest m) {
    List<PartitionId> partitions = m.partitionsOf(p.region());
    return list.stream()
        .filter(w -> w.region().equals(p.region()))
        .filter(w -> HomePartition.ofRack(w.rack(), partitions).equals(p))
        .toList();
  }
}
