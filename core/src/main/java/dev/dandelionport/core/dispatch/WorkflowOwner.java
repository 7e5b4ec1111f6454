package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.dispatch.HistoryReader.History;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.RunnerClient.Address;
import dev.dandelionport.core.workflow.AdviceRequest;
import dev.dandelionport.core.workflow.WorkflowDecision;
import dev.dandelionport.core.workflow.WorkflowEffect;
import dev.dandelionport.core.workflow.WorkflowRecord;
import dev.dandelionport.core.workflow.WorkflowScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Owns all workflows for as long as its key in the store stands: rebuilds them, then schedules. One
 * object for each time that the instance becomes the owner.
 */
final class WorkflowOwner implements RunnerLink.Host {

  /** Interval of checks that no message triggers, in milliseconds. */
  private static final long TICK_MILLIS = 50;

  /** Shortest time between two passes of the placement, in milliseconds. */
  private static final long PASS_MILLIS = 4;

  /** How many times as long as a pass took the next one waits; bounds their share of the time. */
  private static final long PASS_PARTS = 8;

  /** Interval at which workflows that ended long ago are forgotten, in milliseconds. */
  private static final long FORGET_MILLIS = 5_000;

  /** Interval at which it is reported how busy the owner is, in milliseconds. */
  private static final long LOAD_MILLIS = 2_000;

  /**
   * Wait before calls that came early are answered, so that the runners are asked first, in
   * milliseconds.
   */
  private static final long EARLY_MILLIS = 30;

  /** Age of the store's latest answer up to which it counts as answering, in milliseconds. */
  private static final long CALM_MILLIS = 600;

  private final DispatchContext context;
  private final Shard shard;
  private final long revision;
  private final Runnable lost;
  private final WorkflowScheduler scheduler;
  private final Surroundings surroundings;
  private final AdviceLanes lanes;
  private final CallerDesk desk;
  private final OwnerLoad load;
  private final Map<String, RunnerLink> links = new HashMap<>();
  private final EarlyCalls early = new EarlyCalls();
  private final long formerLapsedMillis;
  private final long claimedMillis;
  private WorkflowJournal journal;
  private boolean open;
  private boolean ended;
  private boolean passScheduled;
  private long nextPassMillis;
  private long forgetMillis;
  private long storeSeenMillis;

  /**
   * Creates an owner whose key has {@code revision}, which is also its fencing token.
   *
   * @param lost called once, outside the lock, when another instance is the owner
   */
  WorkflowOwner(DispatchContext context, Shard shard, long revision, Runnable lost) {
    this.context = context;
    this.shard = shard;
    this.revision = revision;
    this.lost = lost;
    this.scheduler = new WorkflowScheduler(context.settings().limits());
    this.surroundings = new Surroundings(context, shard, this::surroundingsChanged);
    this.lanes = new AdviceLanes(context, shard, this::advised);
    this.desk = new CallerDesk(scheduler, surroundings);
    this.load = new OwnerLoad(context, scheduler, lanes, links.values());
    this.claimedMillis = context.nowMillis();
    this.storeSeenMillis = claimedMillis;
    this.formerLapsedMillis =
        claimedMillis
            + DispatchSettings.HOLD_WITHOUT_STORE_MILLIS
            + context.settings().surelyLapsedMillis();
  }

  /** Reads the history and starts; call it without the lock. */
  void start() {
    shard.run(
        () -> {
          surroundings.start();
          context.later(shard, LOAD_MILLIS, this::reportLoad);
        });
    read();
  }

  private void reportLoad() {
    if (ended) {
      return;
    }
    JournalBacklog backlog = journal == null ? JournalBacklog.NONE : journal.backlog();
    Object[] fields = load.take(revision, open, early.size(), backlog);
    shard.runAfterUnlock(() -> context.report(DispatchTopic.OWNER_LOAD, fields));
    context.later(shard, LOAD_MILLIS, this::reportLoad);
  }

  private void read() {
    HistoryReader.read(context.store()).whenComplete((h, e) -> shard.run(() -> replay(h, e)));
  }

  private void replay(History h, Throwable e) {
    if (ended) {
      return;
    }
    if (e != null) {
      context.report(
          DispatchTopic.STORE_CALL_FAILED, "call", "history", "error", String.valueOf(e));
      shard.runAfterUnlock(() -> context.timer().schedule(TICK_MILLIS, this::read));
      return;
    }
    now();
    for (WorkflowRecord r : h.records()) {
      scheduler.replay(r);
    }
    scheduler.finishReplay();
    journal = new WorkflowJournal(context, shard, revision, h, this::fenced);
    desk.use(journal);
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
    surroundingsChanged();
    tick();
  }

  private void now() {
    scheduler.setTime(context.nowMillis(), context.time().wallMillis());
  }

  private void surroundingsChanged() {
    if (journal == null || ended || !surroundings.isKnown()) {
      return;
    }
    now();
    if (!scheduler.setPolicy(surroundings.policy())) {
      // The store was read before the newest change that a former owner had seen.
      return;
    }
    scheduler.setClosedDomains(surroundings.closedDomains());
    scheduler.setRunners(surroundings.runners());
    surroundings.runners().forEach(r -> link(r.id()).setAddress(new Address(r.id(), r.address())));
    if (!open) {
      open = true;
      context.report(
          DispatchTopic.OWNER_OPEN,
          "token",
          revision,
          "policy",
          surroundings.policy().version(),
          "runners",
          surroundings.runners().size(),
          "millis",
          context.nowMillis() - claimedMillis);
      context.later(shard, EARLY_MILLIS, this::answerEarly);
    }
    decided();
    links.values().forEach(RunnerLink::wake);
  }

  private RunnerLink link(String runner) {
    return links.computeIfAbsent(
        runner,
        k ->
            new RunnerLink(context, shard, this, revision, new Address(k, ""), formerLapsedMillis));
  }

  private void tick() {
    if (ended) {
      return;
    }
    now();
    load.ticked();
    if (open) {
      surroundings.expire();
      scheduler.tick();
      long now = context.nowMillis();
      if (now >= forgetMillis) {
        forgetMillis = now + FORGET_MILLIS;
        scheduler.removeExpired();
      }
      decided();
      for (String id : scheduler.runnersWithRuns()) {
        link(id);
      }
      new ArrayList<>(links.values()).forEach(RunnerLink::wake);
      if (journal.wantsSnapshot()) {
        journal.snapshot(scheduler.snapshot());
      }
    }
    load.tickIn(TICK_MILLIS);
    context.later(shard, TICK_MILLIS, this::tick);
  }

  @Override
  public WorkflowScheduler scheduler() {
    now();
    return scheduler;
  }

  @Override
  public void decided() {
    take();
    if (!open || ended) {
      return;
    }
    long now = context.nowMillis();
    if (now >= nextPassMillis) {
      pass();
    } else if (!passScheduled) {
      passScheduled = true;
      context.later(
          shard,
          nextPassMillis - now,
          () -> {
            passScheduled = false;
            if (!ended) {
              pass();
            }
          });
    }
  }

  private void pass() {
    now();
    final long begun = context.time().monotonicNanos();
    scheduler.place();
    take();
    lanes.fill(scheduler::nextAdviceRequest);
    long end = context.time().monotonicNanos();
    load.passed(end - begun);
    long gap = Math.max(PASS_MILLIS, TimeUnit.NANOSECONDS.toMillis(PASS_PARTS * (end - begun)));
    nextPassMillis = TimeUnit.NANOSECONDS.toMillis(begun) + gap;
  }

  /** Carries out what was decided since the last call. */
  private void take() {
    WorkflowDecision d = scheduler.takeDecision();
    if (ended || d.records().isEmpty() && d.effects().isEmpty()) {
      return;
    }
    List<WorkflowEffect> later = new ArrayList<>();
    for (WorkflowEffect e : d.effects()) {
      if (e instanceof WorkflowEffect.Stop s) {
        link(s.runner()).stop(s.task(), s.run());
      } else if (e instanceof WorkflowEffect.LogEntry n) {
        note(n);
      } else {
        later.add(e);
      }
    }
    if (!d.records().isEmpty() || !later.isEmpty()) {
      journal.append(d.records(), () -> durable(later));
    }
  }

  private void note(WorkflowEffect.LogEntry n) {
    Object[] fields = new Object[n.fields().size() + 2];
    fields[0] = "decision";
    fields[1] = n.topic().name();
    for (int i = 0; i < n.fields().size(); i++) {
      fields[i + 2] = n.fields().get(i);
    }
    shard.runAfterUnlock(() -> context.report(DispatchTopic.DECISION, fields));
  }

  private void durable(List<WorkflowEffect> effects) {
    if (ended) {
      return;
    }
    storeSeenMillis = context.nowMillis();
    for (WorkflowEffect e : effects) {
      if (e instanceof WorkflowEffect.Start s) {
        link(s.runner()).start(s.task(), s.run());
      } else if (e instanceof WorkflowEffect.PublishState s) {
        scheduler.markStateDurable(s.workflow(), s.state());
      }
    }
  }

  @Override
  public void whenDurable(Runnable action) {
    journal.append(List.of(), action);
  }

  @Override
  public boolean mayHold() {
    long seen = Math.max(storeSeenMillis, surroundings.seenMillis());
    return context.nowMillis() - seen < DispatchSettings.HOLD_WITHOUT_STORE_MILLIS;
  }

  /** Notes that the owner's lease was renewed by a call sent at a time. */
  void renewed(long sentMillis) {
    storeSeenMillis = Math.max(storeSeenMillis, sentMillis);
  }

  @Override
  public void fenced() {
    if (!ended) {
      end();
      shard.runAfterUnlock(lost::run);
    }
  }

  @Override
  public boolean isEnded() {
    return ended;
  }

  /** Stops acting; call it with the lock held. */
  void end() {
    ended = true;
    open = false;
    surroundings.stop();
    if (journal != null) {
      journal.stop();
    }
    desk.close();
    early.refuse();
  }

  private void advised(AdviceRequest ask, Map<String, String> tickets, long validMillis) {
    if (ended) {
      return;
    }
    scheduler().handleAdvice(ask.step(), ask.runners(), tickets, validMillis);
    decided();
  }

  /** Notes that an instance is there to help. */
  void heard(InstanceInfo member) {
    lanes.heard(member);
  }

  boolean isOpen() {
    return open && !ended;
  }

  /**
   * Returns whether another instance may replace this one without harm to what is under way: the
   * store answers, and no task waits for the leases on a silent runner, which the next owner would
   * have to wait out from the start.
   */
  boolean isCalm() {
    long now = context.nowMillis();
    return isOpen()
        && now - storeSeenMillis < CALM_MILLIS
        && !journal.isFailing()
        && early.size() == 0
        && (now > formerLapsedMillis
            || scheduler.runnersWithRuns().stream().allMatch(r -> link(r).answers()));
  }

  boolean isDrained() {
    return journal == null || journal.isIdle();
  }

  /**
   * Answers a caller; completes once what it says is durable. Calls that come while the workflows
   * are rebuilt wait for that. Call it with the lock held.
   */
  CompletableFuture<WorkflowAnswer> call(WorkflowCall c) {
    if (isOpen()) {
      now();
      return desk.call(c, this::decided);
    }
    return ended
        ? CompletableFuture.completedFuture(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER))
        : early.add(c);
  }

  /** Answers some of the calls that came early, then lets other work go on. */
  private void answerEarly() {
    boolean more =
        early.takeSome(
            (c, answer) ->
                call(c)
                    .thenAccept(
                        a -> shard.run(() -> shard.runAfterUnlock(() -> answer.complete(a)))));
    if (more) {
      context.later(shard, PASS_MILLIS, this::answerEarly);
    }
  }
}
