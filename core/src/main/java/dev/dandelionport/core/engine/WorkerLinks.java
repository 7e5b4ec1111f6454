package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.ownership.Authority;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.SyncRequest;
import dev.dandelionport.core.port.Timer;
import dev.dandelionport.core.port.WorkerClient;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.Event;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Maintains one sync call with each worker of a partition and renews task leases. Guarded by the
 * partition's shard.
 */
final class WorkerLinks {

  /** Duration of the lease of a task whose records are durable, in milliseconds. */
  static final long TASK_LEASE_MILLIS = 12_000;

  /**
   * Duration of the lease of a task that was started before its records were durable, in
   * milliseconds.
   */
  static final long SHORT_LEASE_MILLIS = 1_500;

  /** Interval at which short leases are renewed, in milliseconds. */
  private static final long SHORT_RENEW_MILLIS = 500;

  /**
   * Maximum time that a worker delays its reply to a sync that renews leases, in milliseconds; a
   * third of the task lease.
   */
  private static final long SYNC_WAIT_MILLIS = 4_000;

  /**
   * Maximum time that an idle worker delays its reply to a sync, in milliseconds. There is no lease
   * to renew, and with 60 s the syncs of 188 idle workers use less than 1 KB/s. Failures that such
   * a long poll would hide are detected by {@link #onStart} and {@link #startFailed}.
   */
  private static final long IDLE_WAIT_MILLIS = 60_000;

  /**
   * Range by which the idle wait differs between workers, in milliseconds, so that their syncs do
   * not end at the same time.
   */
  private static final int IDLE_JITTER_MILLIS = 15_000;

  /**
   * Minimum time without an answer after which a worker is considered lost, in milliseconds. A
   * worker without tasks has no lease to wait for; attempts whose intents are still being written
   * should not end as lost because of a short interruption.
   */
  private static final long LOST_AFTER_MILLIS = 4_000;

  /** Delay before a failed sync is repeated, in milliseconds. */
  private static final long SYNC_RETRY_MILLIS = 300;

  /**
   * Maximum wait for a commit before the next sync, in milliseconds; leases must also be renewed
   * during a store outage.
   */
  private static final long COMMIT_WAIT_MILLIS = 1_000;

  /** Allowance for clocks that run at different speeds, in milliseconds. */
  private static final long CLOCK_DRIFT_MILLIS = 300;

  /** Callbacks to the partition host. */
  interface Callbacks {
    /** Passes an event to the scheduler. */
    void handle(Event e);

    /** Runs an action once everything recorded so far is durable. */
    void afterCommit(Runnable action);

    /** Returns whether the host has stopped. */
    boolean isClosed();

    /** Called after a worker has answered a sync. */
    void workerAnswered();
  }

  private final PartitionId partition;
  private final long epoch;
  private final Shard shard;
  private final WorkerClient client;
  private final TimeSource time;
  private final Timer timer;
  private final HostContext context;
  private final Authority authority;
  private final Callbacks callbacks;
  private final Map<WorkerId, WorkerLink> links = new TreeMap<>();
  private boolean fleetKnown;
  private long lastShortRenewNanos;

  WorkerLinks(
      PartitionId partition, long epoch, Shard shard, HostContext context, Callbacks callbacks) {
    this.partition = partition;
    this.epoch = epoch;
    this.shard = shard;
    this.context = context;
    this.client = context.engine().workers();
    this.time = context.engine().time();
    this.timer = context.engine().timer();
    this.authority = context.authority();
    this.callbacks = callbacks;
  }

  /** Applies a newer list of the partition's workers and starts syncing with the new ones. */
  void fleetChanged(List<WorkerInfo> workers) {
    fleetKnown = true;
    long now = time.monotonicNanos();
    for (WorkerInfo w : workers) {
      WorkerLink existing = links.get(w.id());
      if (existing == null) {
        long leaseEndNanos =
            now + TimeUnit.MILLISECONDS.toNanos(TASK_LEASE_MILLIS + CLOCK_DRIFT_MILLIS);
        WorkerLink l = new WorkerLink(w, leaseEndNanos);
        links.put(w.id(), l);
        startSync(l);
      } else {
        existing.info = w;
      }
    }
    callbacks.handle(new Event.FleetChanged(workers));
  }

  /** Returns whether the list of workers is known and each worker has answered at least once. */
  boolean allAnswered() {
    return fleetKnown && links.values().stream().allMatch(l -> l.everAnswered);
  }

  Optional<WorkerLink> link(WorkerId id) {
    return Optional.ofNullable(links.get(id));
  }

  /**
   * Marks an attempt's records as durable, so that the next sync renews it under the normal lease.
   */
  void markDurable(WorkerId worker, AttemptId attempt) {
    link(worker).map(l -> l.shortLeases.get(attempt)).ifPresent(s -> s.durable = true);
  }

  /** Renews short leases if the renewal interval has passed. */
  void tick() {
    long now = time.monotonicNanos();
    if (now - lastShortRenewNanos < TimeUnit.MILLISECONDS.toNanos(SHORT_RENEW_MILLIS)) {
      return;
    }
    lastShortRenewNanos = now;
    links.values().stream()
        .filter(l -> l.responsive && !l.shortLeases.isEmpty())
        .forEach(this::renewShortLeases);
  }

  private void renewShortLeases(WorkerLink l) {
    SyncRequest q = request(l, 0, true);
    shard.runAfterUnlock(
        () ->
            client
                .sync(l.info, q)
                .thenAccept(r -> shard.run(() -> removeRenewedShortLeases(l, q, r))));
  }

  /**
   * Removes the short leases of attempts that now run under the normal lease, unless the request
   * arrived too late.
   */
  private static void removeRenewedShortLeases(WorkerLink l, SyncRequest q, SyncReply r) {
    if (r.workerClockMillis() <= q.notAfterWorkerMillis()) {
      q.durable().forEach(l.shortLeases::remove);
    }
  }

  /**
   * Creates a sync request; it renews the worker's leases if {@code renews} is set and the worker
   * answered the last sync.
   */
  private SyncRequest request(WorkerLink l, long waitMillis, boolean renews) {
    long now = time.monotonicNanos();
    long allowedMillis = renews && l.responsive ? authority.remainingMillis() : 0;
    long notAfterWorkerMillis = 0;
    if (allowedMillis > 0) {
      notAfterWorkerMillis = l.toWorkerClock(now, allowedMillis);
      l.recordLease(now, allowedMillis, TASK_LEASE_MILLIS + CLOCK_DRIFT_MILLIS);
    }
    List<AttemptId> durable = l.durableAttempts();
    long leaseMillis = durable.isEmpty() ? 0 : TASK_LEASE_MILLIS;
    return new SyncRequest(
        partition, epoch, l.ackedEvent, notAfterWorkerMillis, leaseMillis, waitMillis, durable);
  }

  private void startSync(WorkerLink l) {
    if (l.syncInFlight) {
      return;
    }
    boolean idle = l.responsive && l.isIdle();
    sendSync(l, !l.responsive ? 0 : idle ? idleWaitMillis(l) : SYNC_WAIT_MILLIS, !idle);
  }

  /** Sends a sync; the reply to a sync that is still in flight will be ignored. */
  private void sendSync(WorkerLink l, long waitMillis, boolean renews) {
    if (callbacks.isClosed()) {
      return;
    }
    l.syncInFlight = true;
    l.scheduledSyncNumber++;
    l.syncRenewsNoLease = !renews;
    l.syncIsLongPoll = waitMillis > 0;
    l.syncSentNanos = time.monotonicNanos();
    final long number = ++l.lastSyncNumber;
    SyncRequest q = request(l, waitMillis, renews);
    shard.runAfterUnlock(
        () ->
            client
                .sync(l.info, q)
                .whenComplete(
                    (r, x) ->
                        shard.run(
                            () -> {
                              if (l.lastSyncNumber == number) {
                                onSyncCompleted(l, q, r, x);
                              }
                            })));
  }

  private static long idleWaitMillis(WorkerLink l) {
    // Ids such as worker-1 and worker-2 have adjacent hash codes; the multiplier spreads them.
    int jitter = Math.floorMod(l.info.id().hashCode() * 0x9E3779B9, IDLE_JITTER_MILLIS);
    return IDLE_WAIT_MILLIS - IDLE_JITTER_MILLIS + jitter;
  }

  /**
   * Records a start command that is about to be sent. A long poll in flight is replaced once it is
   * as old as a renewing sync may become, so that the task's lease is renewed in time and its end
   * is reported even if the connection of the long poll has failed silently.
   */
  void onStart(WorkerLink l, long notAfterWorkerMillis) {
    l.recordStart(notAfterWorkerMillis);
    if (!l.syncRenewsNoLease || !l.syncInFlight) {
      return;
    }
    l.syncRenewsNoLease = false;
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - l.syncSentNanos);
    final long number = l.lastSyncNumber;
    Runnable replace =
        () -> {
          if (l.syncInFlight && l.lastSyncNumber == number) {
            sendSync(l, SYNC_WAIT_MILLIS, true);
          }
        };
    if (ageMillis >= SYNC_WAIT_MILLIS) {
      replace.run();
    } else {
      timer.schedule(SYNC_WAIT_MILLIS - ageMillis, () -> shard.run(replace));
    }
  }

  /**
   * Requests a worker's state immediately after a start command failed or was refused. This detects
   * a worker that no longer answers or has restarted under another incarnation without waiting for
   * the end of the sync in flight.
   */
  void startFailed(WorkerId worker) {
    WorkerLink l = links.get(worker);
    if (l != null && l.responsive && l.syncInFlight && l.syncIsLongPoll) {
      sendSync(l, 0, false);
    }
  }

  private void scheduleSync(WorkerLink l, long millis) {
    long number = ++l.scheduledSyncNumber;
    timer.schedule(
        millis,
        () ->
            shard.run(
                () -> {
                  if (l.scheduledSyncNumber == number) {
                    startSync(l);
                  }
                }));
  }

  private void onSyncCompleted(
      WorkerLink l, SyncRequest request, SyncReply reply, Throwable error) {
    l.syncInFlight = false;
    if (callbacks.isClosed()) {
      return;
    }
    if (error != null) {
      onSyncFailed(l);
      return;
    }
    final boolean firstReply = !l.everAnswered;
    l.onReply(reply, time.monotonicNanos());
    removeRenewedShortLeases(l, request, reply);
    reply.finished().forEach(f -> l.shortLeases.remove(f.attempt()));
    removeMissingAttempts(l, reply);
    callbacks.handle(new Event.WorkerReport(l.info.id(), reply));
    callbacks.workerAnswered();
    scheduleSync(l, COMMIT_WAIT_MILLIS);
    long scheduledNumber = l.scheduledSyncNumber;
    long lastFinished =
        reply.finished().stream().mapToLong(SyncReply.Finished::number).max().orElse(0);
    // Only after the records are durable are finished attempts acknowledged and adopted attempts
    // given the normal lease.
    callbacks.afterCommit(
        () -> {
          l.ackedEvent = Math.max(l.ackedEvent, lastFinished);
          if (firstReply) {
            reply.running().forEach(a -> adoptAttempt(l, a.attempt()));
          }
          if (l.scheduledSyncNumber == scheduledNumber) {
            scheduleSync(l, 0);
          }
        });
  }

  private static void adoptAttempt(WorkerLink l, AttemptId a) {
    l.shortLeases.computeIfAbsent(a, k -> new WorkerLink.ShortLease(0)).durable = true;
  }

  private static void removeMissingAttempts(WorkerLink l, SyncReply r) {
    l.shortLeases
        .entrySet()
        .removeIf(
            e ->
                e.getValue().notAfterWorkerMillis < r.workerClockMillis()
                    && r.running().stream().noneMatch(a -> a.attempt().equals(e.getKey())));
  }

  private void onSyncFailed(WorkerLink l) {
    if (l.responsive) {
      callbacks.handle(new Event.WorkerUnresponsive(l.info.id()));
    }
    // The next sync renews no lease: if its replies were lost too, leases would be renewed forever
    // without any report from the worker.
    l.onNoReply(time.monotonicNanos());
    if (!l.lost
        && l.isLost(time.monotonicNanos(), TimeUnit.MILLISECONDS.toNanos(LOST_AFTER_MILLIS))) {
      l.lost = true;
      l.shortLeases.clear();
      shard.runAfterUnlock(() -> context.observe(new EngineEvent.WorkerLost(l.info.id())));
      callbacks.handle(new Event.WorkerLost(l.info.id()));
    }
    scheduleSync(l, SYNC_RETRY_MILLIS);
  }
}
