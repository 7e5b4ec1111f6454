package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.dispatch.HistoryReader.History;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.workflow.AdviceRequest;
import dev.dandelionport.core.workflow.WorkflowRecord;
import dev.dandelionport.core.workflow.WorkflowScheduler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Runs all workflows for as long as its owner key exists in the store: replays the history, then
 * schedules. One object for each time that the instance becomes the owner.
 */
final class WorkflowOwner implements LinkOwner {

  /** Interval of checks that are not triggered by a message, in milliseconds. */
  private static final long TICK_MILLIS = 50;

  /** Interval at which workflows that ended long ago are removed, in milliseconds. */
  private static final long PURGE_INTERVAL_MILLIS = 5_000;

  /** Interval of load reports, in milliseconds. */
  private static final long LOAD_REPORT_MILLIS = 2_000;

  /**
   * Delay before calls queued during recovery are answered, in milliseconds, so that the runners
   * are called first.
   */
  private static final long QUEUED_CALLS_DELAY_MILLIS = 30;

  /** Time between two batches of queued calls, in milliseconds. */
  private static final long QUEUED_BATCH_MILLIS = 4;

  /**
   * Maximum age of the store's latest answer at which the store counts as available, in
   * milliseconds.
   */
  private static final long STORE_CONTACT_MILLIS = 600;

  private final DispatchContext context;
  private final Shard shard;
  private final long revision;
  private final Supplier<Ownership> ownership;
  private final Runnable onLost;
  private final WorkflowScheduler scheduler;
  private final ClusterView clusterView;
  private final AdviceDispatcher adviceDispatcher;
  private final ClientRequestHandler requestHandler;
  private final OwnerLoad load;
  private final RunnerLinks links;
  private final DecisionExecutor decisions;
  private final PassPacer passPacer = new PassPacer();
  private final RecoveryCallQueue queuedCalls;
  private final long formerLeasesExpireMillis;
  private final long claimedMillis;
  private WorkflowJournal journal;
  private boolean open;
  private boolean closed;
  private boolean passScheduled;
  private long nextPurgeMillis;

  /** When the latest successful renewal of the owner's lease was sent, on the monotonic clock. */
  private long renewedMillis;

  /**
   * Creates an owner whose key has {@code revision}, which is also its fencing token.
   *
   * @param ownership supplies what is known of the ownership now; called with the lock held
   * @param onLost called once, outside the lock, when another instance is the owner
   */
  WorkflowOwner(
      DispatchContext context,
      Shard shard,
      long revision,
      Supplier<Ownership> ownership,
      Runnable onLost) {
    this.context = context;
    this.shard = shard;
    this.revision = revision;
    this.ownership = ownership;
    this.onLost = onLost;
    this.scheduler = new WorkflowScheduler(context.settings().limits());
    this.clusterView = new ClusterView(context, shard, this::clusterViewChanged);
    this.adviceDispatcher = new AdviceDispatcher(context, shard, this::handleAdvice);
    this.requestHandler =
        new ClientRequestHandler(
            shard, scheduler, clusterView, new SubmissionGate(context, shard, this::storeContact));
    this.queuedCalls = new RecoveryCallQueue(context, shard);
    this.claimedMillis = context.nowMillis();
    this.renewedMillis = claimedMillis;
    long leasesExpireMillis =
        claimedMillis
            + DispatchSettings.EXTEND_WITHOUT_STORE_MILLIS
            + context.settings().maxLeaseMillis();
    this.formerLeasesExpireMillis = leasesExpireMillis;
    this.links =
        new RunnerLinks(
            context.settings().ownerCapacity(),
            to -> new RunnerLink(context, shard, this, revision, to, leasesExpireMillis));
    this.decisions = new DecisionExecutor(context, shard, scheduler, links);
    this.load = new OwnerLoad(context, scheduler, adviceDispatcher, links);
  }

  /** Reads the history and starts scheduling. Must be called without the lock. */
  void start() {
    shard.run(
        () -> {
          clusterView.start();
          context.schedule(shard, LOAD_REPORT_MILLIS, this::reportLoad);
        });
    readHistory();
  }

  private void reportLoad() {
    if (closed) {
      return;
    }
    JournalBacklog backlog = journal == null ? JournalBacklog.NONE : journal.backlog();
    Object[] fields = load.collectAndReset(revision, open, queuedCalls.size(), backlog);
    shard.runAfterUnlock(() -> context.report(DispatchTopic.OWNER_LOAD, fields));
    context.schedule(shard, LOAD_REPORT_MILLIS, this::reportLoad);
  }

  private void readHistory() {
    HistoryReader.read(context.store()).whenComplete((h, e) -> shard.run(() -> replay(h, e)));
  }

  private void replay(History h, Throwable e) {
    if (closed) {
      return;
    }
    if (e != null) {
      context.report(
          DispatchTopic.STORE_CALL_FAILED, "call", "history", "error", String.valueOf(e));
      shard.runAfterUnlock(() -> context.timer().schedule(TICK_MILLIS, this::readHistory));
      return;
    }
    updateClock();
    for (WorkflowRecord r : h.records()) {
      scheduler.replay(r);
    }
    scheduler.finishReplay();
    journal = new WorkflowJournal(context, shard, revision, h, this::onFenced);
    decisions.setJournal(journal);
    requestHandler.setJournal(journal);
    context.report(
        DispatchTopic.OWNER_CLAIMED,
        "token",
        revision,
        "records",
        h.records().size(),
        "batches",
        h.nextBatch() - h.firstBatch(),
        "millis",
        context.nowMillis() - claimedMillis);
    clusterViewChanged();
    tick();
  }

  private void updateClock() {
    scheduler.setTime(context.nowMillis(), context.time().wallMillis());
  }

  private void clusterViewChanged() {
    if (journal == null || closed || !clusterView.isLoaded()) {
      return;
    }
    updateClock();
    if (!scheduler.setPolicy(clusterView.policy())) {
      // The configuration read is older than the newest one that a former owner used.
      return;
    }
    scheduler.setClosedDomains(clusterView.closedDomains());
    scheduler.setRunners(clusterView.runners());
    links.setEntries(clusterView.runners());
    if (!open) {
      open = true;
      context.report(
          DispatchTopic.OWNER_SERVING,
          "token",
          revision,
          "policy",
          clusterView.policy().version(),
          "runners",
          clusterView.runners().size(),
          "millis",
          context.nowMillis() - claimedMillis);
      context.schedule(shard, QUEUED_CALLS_DELAY_MILLIS, this::answerQueuedCalls);
    }
    applyDecisions();
    links.callIfNeeded();
  }

  private void tick() {
    if (closed) {
      return;
    }
    try {
      runTick();
    } finally {
      load.tickScheduled(TICK_MILLIS);
      context.schedule(shard, TICK_MILLIS, this::tick);
    }
  }

  private void runTick() {
    updateClock();
    load.tickStarted();
    if (open) {
      clusterView.expireRunners();
      scheduler.tick();
      long now = context.nowMillis();
      if (now >= nextPurgeMillis) {
        nextPurgeMillis = now + PURGE_INTERVAL_MILLIS;
        scheduler.removeExpired();
      }
      applyDecisions();
      for (String id : scheduler.runnersWithRuns()) {
        links.get(id);
      }
      links.callIfNeeded();
      if (journal.isSnapshotDue()) {
        journal.writeSnapshot(scheduler.snapshot());
      }
    }
  }

  @Override
  public WorkflowScheduler scheduler() {
    updateClock();
    return scheduler;
  }

  @Override
  public void applyDecisions() {
    decisions.execute();
    if (!open || closed) {
      return;
    }
    long delayMillis = passPacer.delayMillis(context.nowMillis());
    if (delayMillis == 0) {
      runPlacementPass();
    } else if (!passScheduled) {
      passScheduled = true;
      context.schedule(
          shard,
          delayMillis,
          () -> {
            passScheduled = false;
            if (!closed) {
              runPlacementPass();
            }
          });
    }
  }

  private void runPlacementPass() {
    updateClock();
    final long startNanos = context.time().monotonicNanos();
    int maxStarts = links.startsToPlace();
    if (maxStarts > 0) {
      scheduler.place(maxStarts);
    }
    decisions.execute();
    adviceDispatcher.assignRequests(scheduler::nextAdviceRequest);
    long endNanos = context.time().monotonicNanos();
    load.recordPass(endNanos - startNanos);
    passPacer.passed(startNanos, endNanos);
  }

  @Override
  public void whenDurable(Runnable action) {
    journal.append(List.of(), action);
  }

  @Override
  public boolean mayExtendLeases() {
    long contactMillis = Math.max(storeContactMillis(), clusterView.confirmedMillis());
    return context.nowMillis() - contactMillis < DispatchSettings.EXTEND_WITHOUT_STORE_MILLIS;
  }

  /** Returns the time at which the store last accepted a write of this owner. */
  private long storeContactMillis() {
    return Math.max(renewedMillis, decisions.durableMillis());
  }

  /** Records a successful renewal of the owner's lease by a call sent at {@code sentMillis}. */
  void leaseRenewed(long sentMillis) {
    renewedMillis = Math.max(renewedMillis, sentMillis);
  }

  @Override
  public boolean mayStart() {
    return ownership.get().leaseValid();
  }

  @Override
  public CallLimiter firstCalls() {
    return links.firstCalls();
  }

  @Override
  public CallLimiter orders() {
    return links.orders();
  }

  @Override
  public void onFenced() {
    if (!closed) {
      close();
      shard.runAfterUnlock(onLost::run);
    }
  }

  @Override
  public boolean isClosed() {
    return closed;
  }

  /** Stops all work of this owner. Must be called with the lock held. */
  void close() {
    closed = true;
    open = false;
    decisions.close();
    clusterView.stop();
    if (journal != null) {
      journal.stop();
    }
    requestHandler.close();
    queuedCalls.rejectAll();
  }

  private void handleAdvice(AdviceRequest request, Map<String, String> tickets, long validMillis) {
    if (closed) {
      return;
    }
    scheduler().handleAdvice(request.step(), request.runners(), tickets, validMillis);
    applyDecisions();
  }

  /** Records a message from an instance, which makes it available for advice calls. */
  void recordContact(InstanceInfo member) {
    adviceDispatcher.recordContact(member);
  }

  boolean isOpen() {
    return open && !closed;
  }

  /**
   * Returns whether another instance may replace this one without delaying work: the store answers,
   * and no task waits for the leases on an unresponsive runner to expire. The next owner would have
   * to wait for the full lease time again.
   */
  boolean canHandOver() {
    long now = context.nowMillis();
    return isOpen()
        && now - storeContactMillis() < STORE_CONTACT_MILLIS
        && !journal.isFailing()
        && queuedCalls.size() == 0
        && (now > formerLeasesExpireMillis
            || scheduler.runnersWithRuns().stream().allMatch(r -> links.get(r).isResponsive()));
  }

  boolean isFlushed() {
    return journal == null || journal.isIdle();
  }

  /**
   * Handles a client request; completes once the records behind the answer are durable. Requests
   * received during recovery are queued. Must be called with the lock held.
   */
  CompletableFuture<WorkflowAnswer> call(WorkflowCall c) {
    if (isOpen()) {
      updateClock();
      return requestHandler.handle(c, this::applyDecisions);
    }
    return closed
        ? CompletableFuture.completedFuture(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER))
        : queuedCalls.add(c);
  }

  private SubmissionGate.StoreContact storeContact() {
    return new SubmissionGate.StoreContact(
        journal.blockedMillis(), context.nowMillis() - storeContactMillis(), ownership.get());
  }

  /** Handles a batch of queued calls, then lets other work run. */
  private void answerQueuedCalls() {
    boolean more =
        queuedCalls.drainBatch(
            (c, answer) ->
                call(c)
                    .thenAccept(
                        a -> shard.run(() -> shard.runAfterUnlock(() -> answer.complete(a)))));
    if (more) {
      context.schedule(shard, QUEUED_BATCH_MILLIS, this::answerQueuedCalls);
    }
  }
}
