package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.Timer;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.routing.HomePartition;
import dev.dandelionport.core.scheduler.SchedulerStats;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * One instance of the system: maintains its lease, watches the shared control state, owns
 * partitions and runs their hosts. State is guarded by one shard for the instance and one for each
 * partition. To avoid deadlocks, no thread holds two shards, and no external code is called while
 * one is held.
 */
public final class InstanceEngine {

  /** Interval at which authority, manifest, promises and permits are checked, in milliseconds. */
  private static final long TICK_MILLIS = 100;

  /** Maximum time to wait for the last journal writes of a graceful stop, in milliseconds. */
  private static final long LAST_WRITES_TIMEOUT_MILLIS = 8_000;

  /**
   * Maximum time to hand the partitions over in a graceful stop, in milliseconds. Without a limit,
   * all tries together took 13 s when the store did not answer. Partitions that are not handed over
   * are claimed after the lease expires.
   */
  private static final long LEAVE_TIMEOUT_MILLIS = 4_000;

  /**
   * Maximum time to revoke the lease in a graceful stop, in milliseconds; a lease that is not
   * revoked expires.
   */
  private static final long REVOKE_TIMEOUT_MILLIS = 1_500;

  /** Maximum number of tries to hand the partitions over in a graceful stop. */
  private static final int LEAVE_TRIES = 10;

  private final Shard shard;
  private final EngineContext context;
  private final TimeSource time;
  private final Timer timer;
  private final LeaseManager lease;
  private final ManifestManager manifests;
  private final PromiseManager promises;
  private final PermitManager permits;
  private final PermitBalancer permitBalancer;
  private final HostTable hosts;
  private final AssignmentReconciler assignments;
  private final ControlStateWatcher controlStateWatcher;
  private final HeartbeatLoop heartbeats;
  private volatile ControlState state = ControlState.EMPTY;
  private boolean hadAuthority;
  private long authorityLostNanos;
  private volatile boolean stopping;
  private volatile boolean stopped;

  /** Creates an engine; {@link #start} runs it. */
  public InstanceEngine(EngineContext rawContext) {
    MonitoredStore store =
        new MonitoredStore(rawContext.store(), rawContext.time(), rawContext.observer());
    this.context =
        new EngineContext(
            rawContext.self(),
            store,
            rawContext.workers(),
            rawContext.instanceList(),
            rawContext.peers(),
            rawContext.time(),
            rawContext.timer(),
            rawContext.observer(),
            rawContext.tracing());
    this.time = context.time();
    this.timer = context.timer();
    this.shard =
        new Shard(
            e ->
                context
                    .observer()
                    .accept(new EngineEvent.AlertRaised(AlertCode.CALL_FAILED, String.valueOf(e))));
    this.lease = new LeaseManager(context, new LeaseEvents());
    this.manifests = new ManifestManager(context, this::manifestAdopted);
    this.controlStateWatcher =
        new ControlStateWatcher(
            context,
            this::onControlStateRead,
            manifests::confirmationAgeMillis,
            this::requestPeerConfirmations);
    this.heartbeats =
        new HeartbeatLoop(context, () -> state, manifests, controlStateWatcher::refresh);
    this.promises =
        new PromiseManager(context, store, manifests, heartbeats::newestTable, lease::session);
    this.permits = new PermitManager(context, shard, this::permitsChanged);
    this.hosts =
        new HostTable(
            context,
            shard,
            manifests::confirmationRemainingMillis,
            () -> shard.run(this::reconcile));
    this.assignments =
        new AssignmentReconciler(
            context, shard, lease, promises, hosts, permits, controlStateWatcher::refresh);
    this.permitBalancer =
        new PermitBalancer(context, shard, hosts, permits, manifests, this::ownerOf, this::receive);
  }

  /** Joins the cell and starts to serve. */
  public void start() {
    lease.start();
    controlStateWatcher.start();
    hosts.pollInstanceList(manifests);
    heartbeats.start();
    tick();
  }

  /** Returns the identity and address of this instance. */
  public InstanceInfo self() {
    return context.self();
  }

  /** Returns the newest known control state. */
  public ControlState state() {
    return state;
  }

  /** Returns whether the instance may act as an owner. */
  public boolean hasAuthority() {
    return lease.session().map(s -> s.authority().isHeld()).orElse(false);
  }

  /** Returns whether the manifest was confirmed as the newest one within the last 3 s. */
  public boolean isManifestConfirmed() {
    return manifests.confirmationRemainingMillis() > 0;
  }

  /** Returns the partitions that this instance serves. */
  public Set<PartitionId> serving() {
    return shard.call(hosts::serving);
  }

  /** Returns the scheduler statistics of the partitions that this instance serves. */
  public Map<PartitionId, SchedulerStats> stats() {
    Map<PartitionId, SchedulerStats> m = new TreeMap<>();
    for (PartitionHost h : shard.call(hosts::all)) {
      h.stats().ifPresent(s -> m.put(h.partition(), s));
    }
    return m;
  }

  /** Returns the members that are suspected to have failed because their heartbeats are missing. */
  public Set<InstanceId> suspects() {
    return heartbeats.suspects();
  }

  /** Returns the workers of this instance's region from the last read of the instance list. */
  public List<WorkerInfo> workers() {
    return shard.call(hosts::workers);
  }

  /** Returns whether a graceful stop has begun. */
  public boolean isStopping() {
    return stopping;
  }

  /**
   * Makes all accepted jobs durable, hands the partitions over and revokes the lease. Completes
   * within 13.5 s even if the store is unreachable.
   */
  public CompletableFuture<Void> stop() {
    stopping = true;
    CompletableFuture<Void> written = shard.call(hosts::releaseAll);
    // If the store is unreachable the last writes fail; waiting callers then retry with the same
    // request key.
    return completeWithin(LAST_WRITES_TIMEOUT_MILLIS, written)
        .thenCompose(v -> leave(written))
        .thenCompose(v -> completeWithin(REVOKE_TIMEOUT_MILLIS, lease.stop()))
        .thenAccept(
            v -> {
              stopped = true;
              controlStateWatcher.stop();
              heartbeats.stop();
              shard.run(() -> hosts.all().forEach(h -> hosts.abandon(h.partition())));
            });
  }

  /**
   * Hands the partitions over if all last writes succeeded. A partition that is handed over is
   * marked as released, so its next owner assumes that no attempt is missing from the journal.
   * Otherwise the partitions must be claimed after the lease expires, as after a crash.
   */
  private CompletableFuture<Void> leave(CompletableFuture<Void> written) {
    return written.isDone() && !written.isCompletedExceptionally()
        ? completeWithin(LEAVE_TIMEOUT_MILLIS, shard.call(() -> assignments.leave(LEAVE_TRIES)))
        : CompletableFuture.completedFuture(null);
  }

  /**
   * Returns a future that completes normally when {@code f} succeeds or fails, or after {@code
   * millis}.
   */
  private CompletableFuture<Void> completeWithin(long millis, CompletableFuture<Void> f) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    f.whenComplete((v, e) -> done.complete(null));
    timer.schedule(millis, () -> done.complete(null));
    return done;
  }

  /** Handles a message from a peer and returns the answer. */
  public CompletableFuture<PeerMessage> receive(PeerMessage message) {
    if (message instanceof PeerMessage.SubmitCall c) {
      return callHost(c.spec().key(), h -> h.submit(c));
    } else if (message instanceof PeerMessage.RefuseCall c) {
      return callHost(c.job(), h -> h.refuse(c.job()));
    } else if (message instanceof PeerMessage.StatusCall c) {
      return callHost(c.job(), h -> h.status(c.job(), c.waitMillis()));
    } else if (message instanceof PeerMessage.CancelCall c) {
      return callHost(c.job(), h -> h.cancel(c.job()));
    } else if (message instanceof PeerMessage.InspectCall c) {
      return CompletableFuture.completedFuture(inspect(c));
    }
    return CompletableFuture.completedFuture(handleControlMessage(message));
  }

  private PeerMessage inspect(PeerMessage.InspectCall c) {
    long version = manifests.newest().map(Manifest::version).orElse(0L);
    Optional<PartitionHost> host =
        c.partition() == null ? Optional.empty() : shard.call(() -> hosts.serving(c.partition()));
    return host.map(h -> h.inspect(c.job(), version))
        .orElseGet(() -> new PeerMessage.InspectAnswer(version, null, null));
  }

  private PeerMessage handleControlMessage(PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat h) {
      heartbeats.onHeartbeat(h);
      return manifests.confirmation();
    } else if (message instanceof PeerMessage.ManifestPush p) {
      manifests.adopt(p.manifest());
    } else if (message instanceof PeerMessage.AssignmentPush p) {
      long version = heartbeats.onTablePushed(p.table());
      return new PeerMessage.AssignmentAck(version, promises.joinWaitMillis());
    } else if (message instanceof PeerMessage.PromiseRequest q) {
      return promises.answer(q);
    } else if (message instanceof PeerMessage.ClockCall) {
      return new PeerMessage.ClockAnswer(time.monotonicNanos());
    } else if (message instanceof PeerMessage.PermitDemand d) {
      permitBalancer.onDemand(d);
    }
    return new PeerMessage.Ack();
  }

  /** Returns the home partition of a job, if its team is known. */
  public Optional<PartitionId> homePartition(JobKey job) {
    return manifests
        .newest()
        .flatMap(
            m ->
                m.team(job.team())
                    .map(t -> HomePartition.ofJob(job, m.partitionsOf(t.homeRegion()))));
  }

  /** Returns the owner of a partition, if one is known. */
  public Optional<InstanceInfo> ownerOf(PartitionId p) {
    AssignmentTable t = heartbeats.newestTable();
    return t.owner(p).flatMap(o -> t.member(o.owner()));
  }

  private CompletableFuture<PeerMessage> callHost(
      JobKey job, Function<PartitionHost, CompletableFuture<JobReply>> call) {
    Optional<PartitionHost> host =
        homePartition(job).flatMap(p -> shard.call(() -> hosts.serving(p)));
    if (host.isEmpty()) {
      JobReply notOwner =
          JobReply.of(Outcome.NOT_OWNER, "this instance does not serve the partition");
      return CompletableFuture.completedFuture(new PeerMessage.JobAnswer(notOwner));
    }
    return call.apply(host.get()).thenApply(PeerMessage.JobAnswer::new);
  }

  private void onControlStateRead(ControlStateDecoder.DecodedState decoded, long sentNanos) {
    manifests.onControlStateRead(decoded, sentNanos);
    shard.run(
        () -> {
          if (!stopped) {
            permits.onControlStateRead(decoded.permits(), sentNanos);
            assignments.onControlStateRead(decoded, manifests.newest(), sentNanos);
            publishState();
          }
        });
  }

  private boolean requestPeerConfirmations() {
    return heartbeats.requestConfirmations();
  }

  private void reconcile() {
    assignments.reconcile();
    publishState();
  }

  private void publishState() {
    state =
        new ControlState(
            manifests.newest(),
            assignments.table(),
            assignments.revision(),
            assignments.liveSessions().keySet());
  }

  private void manifestAdopted(Manifest m) {
    shard.run(
        () -> {
          hosts.manifestChanged(m, permits);
          state = state.withManifest(m);
        });
    heartbeats.manifestAdopted(m);
  }

  private void permitsChanged() {
    manifests.newest().ifPresent(m -> shard.run(() -> hosts.permitsChanged(m, permits)));
  }

  private void tick() {
    if (stopped) {
      return;
    }
    boolean hasAuthorityNow = hasAuthority();
    if (hasAuthorityNow != hadAuthority) {
      hadAuthority = hasAuthorityNow;
      long now = time.monotonicNanos();
      long lostMillis = TimeUnit.NANOSECONDS.toMillis(now - authorityLostNanos);
      authorityLostNanos = now;
      context
          .observer()
          .accept(
              hasAuthorityNow
                  ? new EngineEvent.AuthorityRegained(lostMillis)
                  : new EngineEvent.AuthorityLost());
    }
    manifests.tick();
    promises.tick();
    if (!stopping) {
      permitBalancer.tick();
    }
    timer.schedule(TICK_MILLIS, this::tick);
  }

  private final class LeaseEvents implements LeaseManager.Listener {
    @Override
    public void joined(LeaseManager.Session s) {
      context.observer().accept(new EngineEvent.Joined());
      controlStateWatcher.refresh();
    }

    @Override
    public void lost(LeaseManager.Session s) {
      context.observer().accept(new EngineEvent.LeaseLost());
      shard.run(() -> reconcile());
    }
  }
}
