package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.journal.JournalContext;
import dev.dandelionport.core.journal.JournalKeys;
import dev.dandelionport.core.journal.JournalReader;
import dev.dandelionport.core.journal.JournalWriter;
import dev.dandelionport.core.journal.RecoveredJournal;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.message.PartitionFigures;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.ownership.PartitionOwner;
import dev.dandelionport.core.port.Tracing;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.Event;
import dev.dandelionport.core.scheduler.PartitionScheduler;
import dev.dandelionport.core.scheduler.SchedulerStats;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/**
 * Runs one partition while this instance owns it: opens its journal, serves calls about its jobs,
 * and closes it. All state is guarded by one shard; no external code is called while it is locked.
 */
public final class PartitionHost {

  /** Interval of the scheduler's ticks, in milliseconds. */
  private static final long TICK_MILLIS = 100;

  private final Shard shard;
  private final PartitionId partition;
  private final PartitionOwner ownership;
  private final HostContext context;
  private final TimeSource time;
  private final JournalContext journalContext;
  private final WaiterTable waiters;
  private final CompletableFuture<Void> ready = new CompletableFuture<>();
  private final CompletableFuture<Void> opened = new CompletableFuture<>();
  private final CompletableFuture<Void> finished = new CompletableFuture<>();
  private final CompletableFuture<Void> lost = new CompletableFuture<>();
  private final long openStartedNanos;
  private Manifest manifest;
  private Optional<Map<TeamId, Integer>> permits;
  private Optional<List<WorkerInfo>> fleet = Optional.empty();
  private SchedulerDriver driver;
  private JournalWriter journal;
  private WorkerLinks links;
  private JobCallHandler calls;
  private long recoveredRecords;
  private boolean serving;
  private boolean closed;

  /**
   * Creates a host; {@link #open} starts it. {@code hostNumber} is unique among the hosts of an
   * instance, so that each host writes its journal under a different writer id.
   */
  PartitionHost(
      PartitionId partition,
      PartitionOwner ownership,
      HostContext context,
      Manifest manifest,
      Optional<Map<TeamId, Integer>> permits,
      long hostNumber) {
    this.partition = partition;
    this.ownership = ownership;
    this.context = context;
    this.manifest = manifest;
    this.permits = permits;
    EngineContext engine = context.engine();
    this.time = engine.time();
    this.openStartedNanos = time.monotonicNanos();
    this.shard =
        new Shard(
            e ->
                context.observe(
                    new EngineEvent.AlertRaised(AlertCode.CALL_FAILED, String.valueOf(e))));
    this.waiters = new WaiterTable(shard);
    String writerId = engine.self().id() + "#" + hostNumber;
    this.journalContext =
        new JournalContext(
            engine.store(),
            engine.timer(),
            time,
            JournalKeys.of(partition),
            ownership.epoch(),
            writerId);
  }

  /** Returns the partition that this host runs. */
  public PartitionId partition() {
    return partition;
  }

  /** Returns the scheduler statistics of the partition, if its journal has been opened. */
  Optional<SchedulerStats> stats() {
    return shard.call(() -> Optional.ofNullable(driver).map(SchedulerDriver::stats));
  }

  /** Returns the ownership epoch under which this host acts. */
  public long epoch() {
    return ownership.epoch();
  }

  /** Returns the assignment table's owner entry under which this host acts. */
  PartitionOwner ownership() {
    return ownership;
  }

  /**
   * Reads the journal, fences a former owner and syncs with the workers; completes when the
   * partition accepts work.
   *
   * @param workers the partition's workers, empty if the instance list has not been read yet
   */
  CompletableFuture<Void> open(Optional<List<WorkerInfo>> workers) {
    if (shard.call(() -> closed)) {
      opened.complete(null);
      return ready;
    }
    shard.run(() -> fleet = fleet.or(() -> workers));
    new JournalReader(journalContext)
        .open()
        .whenComplete(
            (r, e) -> {
              if (e != null) {
                ready.completeExceptionally(e);
              } else {
                shard.run(() -> onRecovered(r));
              }
              opened.complete(null);
            });
    return ready;
  }

  /**
   * Completes when the host has stopped without a graceful close: its journal is fenced or cannot
   * be read, or the ownership is lost.
   */
  CompletableFuture<Void> lost() {
    return lost;
  }

  private void onRecovered(RecoveredJournal r) {
    if (closed) {
      return;
    }
    recoveredRecords = r.records().size();
    PartitionScheduler scheduler =
        new PartitionScheduler(partition, epoch(), manifest, r.records());
    journal =
        new JournalWriter(
            journalContext,
            shard,
            context.budget(),
            context.authority()::isHeld,
            r,
            new JournalEventReporter(partition, shard, context, this::stopNow));
    driver = new SchedulerDriver(scheduler, journal, shard, context, waiters);
    calls = new JobCallHandler(shard, context, driver, journal, waiters, epoch() == 1);
    WorkerLinkCallbacks events = new WorkerLinkCallbacks(driver, () -> closed, this::serveIfReady);
    links = new WorkerLinks(partition, epoch(), shard, context, events);
    driver.connect(
        links, new StartSender(partition, epoch(), shard, context, links, driver::handle));
    permits.ifPresent(driver::setPermits);
    fleet.ifPresent(links::fleetChanged);
    tick();
  }

  /**
   * Starts to serve once no attempt of the former owner can run that the journal lacks: the former
   * owner released the partition, every worker has answered a sync, or the short leases have
   * expired. Attempts without a durable record run only under short leases.
   */
  private void serveIfReady() {
    if (serving || closed) {
      return;
    }
    long openMillis = (time.monotonicNanos() - openStartedNanos) / 1_000_000;
    if (!ownership.released()
        && !links.allAnswered()
        && openMillis < WorkerLinks.SHORT_LEASE_MILLIS) {
      return;
    }
    serving = true;
    driver.setReady();
    shard.runAfterUnlock(
        () -> {
          context.observe(
              new EngineEvent.PartitionOpened(partition, epoch(), recoveredRecords, openMillis));
          context.observe(new EngineEvent.TakeoverFinished(partition, epoch(), openMillis));
          ready.complete(null);
        });
  }

  /** Submits a job; completes with its status when it has ended, or after the caller's wait. */
  CompletableFuture<JobReply> submit(PeerMessage.SubmitCall call) {
    Tracing.Span span = context.engine().tracing().start("owner", call.traceparent());
    long now = time.monotonicNanos();
    return callIfServing(
            (c, f) -> c.submit(new AdmissionQueue.PendingJob(call, f, span.traceparent(), now)))
        .whenComplete((r, e) -> span.end(e == null && r.outcome() == Outcome.STATUS));
  }

  /**
   * Refuses a request as not run, so that no copy of it is accepted; replies with the status if the
   * job is known.
   */
  CompletableFuture<JobReply> refuse(JobKey key) {
    return callIfServing((c, f) -> c.refuse(key, f));
  }

  /** Returns the status of a job as soon as it has ended, or after {@code waitMillis}. */
  public CompletableFuture<JobReply> status(JobKey key, long waitMillis) {
    return callIfServing((c, f) -> c.status(key, waitMillis, f));
  }

  /** Cancels a job and returns its status. */
  public CompletableFuture<JobReply> cancel(JobKey key) {
    return callIfServing((c, f) -> c.cancel(key, f));
  }

  /**
   * Returns the partition's figures, and an explanation of the job's placement or wait if {@code
   * job} is not null and is known.
   */
  PeerMessage.InspectAnswer inspect(JobKey job, long manifestVersion) {
    return shard.call(
        () -> {
          if (closed || !serving) {
            return new PeerMessage.InspectAnswer(manifestVersion, null, null);
          }
          PartitionScheduler scheduler = driver.scheduler();
          return new PeerMessage.InspectAnswer(
              manifestVersion,
              PartitionFigures.of(scheduler),
              job == null ? null : scheduler.explain(job).orElse(null));
        });
  }

  private CompletableFuture<JobReply> callIfServing(
      BiConsumer<JobCallHandler, CompletableFuture<JobReply>> call) {
    CompletableFuture<JobReply> f = new CompletableFuture<>();
    shard.run(
        () -> {
          if (closed || !serving) {
            JobReply notOwner = JobReply.of(Outcome.NOT_OWNER, "the partition is not served here");
            shard.runAfterUnlock(() -> f.complete(notOwner));
          } else {
            call.accept(calls, f);
          }
        });
    return f;
  }

  /** Applies a newer manifest and the permits derived from it. */
  void manifestChanged(Manifest m, Optional<Map<TeamId, Integer>> newPermits) {
    shard.run(
        () -> {
          manifest = m;
          if (driver != null && !closed) {
            driver.handle(new Event.ManifestChanged(m));
          }
        });
    permitsChanged(newPermits);
  }

  /**
   * Applies new permits. Empty permits are ignored; until the first permits are applied, nothing
   * starts.
   */
  void permitsChanged(Optional<Map<TeamId, Integer>> newPermits) {
    shard.run(
        () -> {
          if (newPermits.isPresent() && !newPermits.equals(permits)) {
            permits = newPermits;
            if (driver != null && !closed) {
              driver.setPermits(newPermits.get());
            }
          }
        });
  }

  /** Returns the other partitions of the region. */
  List<PartitionId> otherPartitions() {
    return shard.call(
        () ->
            manifest.partitionsOf(partition.region()).stream()
                .filter(p -> !p.equals(partition))
                .toList());
  }

  /**
   * Returns how many more tasks of a team may run under its permits; negative if more run than
   * permitted.
   */
  int sparePermits(TeamId team) {
    return shard.call(
        () ->
            serving && permits.isPresent()
                ? permits.get().getOrDefault(team, 0) - driver.scheduler().running(team)
                : 0);
  }

  /**
   * Returns the number of additional permits needed by each team that is limited by its permits,
   * and resets the recorded needs.
   */
  Map<TeamId, Integer> missingPermits() {
    return shard.call(
        () -> {
          Map<TeamId, Integer> missing = new HashMap<>();
          if (serving && !closed && permits.isPresent()) {
            driver
                .takeWantedPermits()
                .forEach((t, n) -> missing.put(t, n - permits.get().getOrDefault(t, 0)));
            missing.values().removeIf(n -> n <= 0);
          }
          return missing;
        });
  }

  /** Applies a newer list of the partition's workers. */
  void workersChanged(List<WorkerInfo> workers) {
    shard.run(
        () -> {
          // A list that arrives while the journal is being read is stored for later, because it is
          // sent only once.
          fleet = Optional.of(workers);
          if (driver != null && !closed) {
            links.fleetChanged(workers);
          }
        });
  }

  /**
   * Stops accepting work and completes once everything accepted is durable. Fails if the host stops
   * before that; the partition must then not be handed over as released.
   */
  CompletableFuture<Void> close() {
    shard.run(
        () -> {
          if (closed) {
            return;
          }
          closed = true;
          if (journal == null) {
            // The next owner must not open the journal while this host's pending open may still
            // fence it.
            shard.runAfterUnlock(() -> opened.thenRun(() -> finished.complete(null)));
          } else {
            calls.rejectPending("the owner is stopping");
            driver.stop();
            journal.append(List.of(), this::onLastWriteDurable);
          }
        });
    return finished;
  }

  private void onLastWriteDurable() {
    journal.close();
    waiters.answerAll(JobReply.of(Outcome.UNKNOWN, "the owner changed"));
    shard.runAfterUnlock(
        () -> {
          context.observe(new EngineEvent.PartitionClosed(partition, epoch(), true));
          finished.complete(null);
        });
  }

  /**
   * Stops immediately because the ownership is lost; waiting callers receive {@code UNKNOWN} and
   * must retry.
   */
  void abandon() {
    shard.run(this::stopNow);
  }

  private void stopNow() {
    final boolean wasClosed = closed;
    closed = true;
    if (journal != null) {
      calls.rejectPending("the partition's owner changed");
      driver.stop();
      journal.close();
    }
    waiters.answerAll(JobReply.of(Outcome.UNKNOWN, "the owner changed"));
    shard.runAfterUnlock(
        () -> {
          if (!wasClosed) {
            context.observe(new EngineEvent.PartitionClosed(partition, epoch(), false));
          }
          IllegalStateException ownershipLost =
              new IllegalStateException(
                  "the ownership of partition " + partition + " in epoch " + epoch() + " is lost");
          ready.completeExceptionally(ownershipLost);
          finished.completeExceptionally(ownershipLost);
          lost.complete(null);
        });
  }

  private void tick() {
    if (closed) {
      return;
    }
    serveIfReady();
    if (context.authority().isHeld()) {
      driver.handle(new Event.Tick());
    }
    links.tick();
    calls.tick();
    if (journal.isSnapshotDue()) {
      journal.appendSnapshot(driver.scheduler()::snapshot);
    }
    context.engine().timer().schedule(TICK_MILLIS, () -> shard.run(this::tick));
  }
}
