package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.journal.JournalWriter;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.port.Tracing;
import dev.dandelionport.core.port.WorkerClient;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.Decision;
import dev.dandelionport.core.scheduler.Effect;
import dev.dandelionport.core.scheduler.Event;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.scheduler.JobStatus;
import dev.dandelionport.core.scheduler.PartitionScheduler;
import dev.dandelionport.core.scheduler.SchedulerStats;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Passes events to the scheduler one at a time, makes its records durable and executes its effects.
 * An event that arises while another is handled is queued, so that records are appended in the
 * order in which they were created. Guarded by the partition's shard.
 */
final class SchedulerDriver {

  private final PartitionScheduler scheduler;
  private final JournalWriter journal;
  private final Shard shard;
  private final HostContext context;
  private final WaiterTable waiters;
  private final Deque<Event> events = new ArrayDeque<>();

  /** Trace context of the call that submitted each unfinished job. */
  private final Map<JobKey, String> traceContexts = new HashMap<>();

  private final Map<TeamId, Integer> wantedPermits = new HashMap<>();
  private WorkerLinks links;
  private StartSender starts;
  private boolean handling;
  private boolean ready;
  private boolean permitsKnown;
  private boolean placementAllowed = true;
  private boolean stopped;

  SchedulerDriver(
      PartitionScheduler scheduler,
      JournalWriter journal,
      Shard shard,
      HostContext context,
      WaiterTable waiters) {
    this.scheduler = scheduler;
    this.journal = journal;
    this.shard = shard;
    this.context = context;
    this.waiters = waiters;
  }

  /** Returns statistics of the partition; the caller holds the shard. */
  SchedulerStats stats() {
    return scheduler.stats();
  }

  void connect(WorkerLinks workerLinks, StartSender startSender) {
    links = workerLinks;
    starts = startSender;
  }

  PartitionScheduler scheduler() {
    return scheduler;
  }

  /** Applies the number of tasks that each team may run in this partition. */
  void setPermits(Map<TeamId, Integer> permits) {
    permitsKnown = true;
    handle(new Event.PermitsChanged(permits));
  }

  /**
   * Returns the total number of permits needed by each team that is limited by its permits, and
   * clears the record.
   */
  Map<TeamId, Integer> takeWantedPermits() {
    Map<TeamId, Integer> taken = new HashMap<>(wantedPermits);
    wantedPermits.clear();
    return taken;
  }

  /** Allows tasks to start from now on, whenever the owner may serve. */
  void setReady() {
    ready = true;
    handle(new Event.Tick());
  }

  /**
   * Stops handling events. Of the effects that wait for a commit, only job status changes are still
   * executed.
   */
  void stop() {
    stopped = true;
    events.clear();
  }

  /**
   * Records the trace context of a job that is about to be submitted, and reports the job as
   * accepted.
   */
  void jobAccepted(JobSpec spec, String traceparent) {
    traceContexts.put(spec.key(), traceparent);
    shard.runAfterUnlock(
        () -> context.observe(new EngineEvent.JobAccepted(spec.key(), spec.workloadClass())));
  }

  /** Runs an action once all records created so far are durable. */
  void afterCommit(Runnable action) {
    journal.append(List.of(), action);
  }

  /** Handles an event immediately, or queues it if another is being handled. */
  void handle(Event event) {
    if (stopped) {
      return;
    }
    events.add(event);
    if (handling) {
      return;
    }
    handling = true;
    try {
      while (!events.isEmpty()) {
        setPlacementAllowed(ready && permitsKnown && context.mayServe());
        process(events.poll());
      }
    } finally {
      handling = false;
    }
  }

  private void setPlacementAllowed(boolean allowed) {
    if (allowed != placementAllowed) {
      placementAllowed = allowed;
      process(new Event.PlacementAllowed(allowed));
    }
  }

  private void process(Event event) {
    Decision decision = scheduler.handle(event, context.engine().time().wallMillis());
    List<Effect> afterCommit = new ArrayList<>();
    List<Effect.StartTask> startedEarly = new ArrayList<>();
    // Opened before the effects are executed, because the end of a job removes its trace context.
    final Consumer<Boolean> endSpans = openSpans(event, decision);
    int startCount = 0;
    for (Effect e : decision.effects()) {
      startCount += e instanceof Effect.StartTask ? 1 : 0;
      if (e.afterCommit()) {
        afterCommit.add(e);
      } else {
        execute(e);
        if (e instanceof Effect.StartTask s) {
          startedEarly.add(s);
        }
      }
    }
    if (startCount > 0) {
      context.budget().recordPlacements(startCount);
    }
    if (!decision.records().isEmpty() || !afterCommit.isEmpty()) {
      journal.append(
          decision.records(),
          () -> {
            endSpans.accept(true);
            startedEarly.forEach(s -> links.markDurable(s.worker(), s.attempt()));
            afterCommit.forEach(this::executeAfterCommit);
          });
    }
  }

  /**
   * Opens a span for the records of a submitted job, and one for each job that ends. Returns a
   * callback that ends the spans.
   */
  private Consumer<Boolean> openSpans(Event event, Decision decision) {
    List<CompletableFuture<Tracing.Span>> spans = new ArrayList<>();
    if (event instanceof Event.Submit s && traceContexts.containsKey(s.spec().key())) {
      openSpan("commit", s.spec().key(), spans);
    }
    for (Effect e : decision.effects()) {
      if (e instanceof Effect.JobChanged c && c.status().phase().isFinal()) {
        openSpan("result", c.status().key(), spans);
      }
    }
    return ok -> spans.forEach(f -> shard.runAfterUnlock(() -> f.thenAccept(s -> s.end(ok))));
  }

  /**
   * Opens a span asynchronously. The span is held in a future because another thread may commit the
   * records before it is opened.
   */
  private void openSpan(String name, JobKey key, List<CompletableFuture<Tracing.Span>> spans) {
    String parent = traceContexts.get(key);
    if (parent != null) {
      CompletableFuture<Tracing.Span> span = new CompletableFuture<>();
      spans.add(span);
      shard.runAfterUnlock(() -> span.complete(context.engine().tracing().start(name, parent)));
    }
  }

  private void executeAfterCommit(Effect effect) {
    if (!stopped || effect instanceof Effect.JobChanged) {
      execute(effect);
    }
  }

  private void execute(Effect effect) {
    WorkerClient client = context.engine().workers();
    long epoch = scheduler.epoch();
    if (effect instanceof Effect.StartTask e) {
      String trace = traceContexts.getOrDefault(e.attempt().job(), "");
      starts.start(e, scheduler.shouldSendStart(e.attempt()), acceptedMillis(e), trace);
    } else if (effect instanceof Effect.StopTask e) {
      callWorker(e.worker(), w -> client.stop(w, e.attempt(), epoch));
    } else if (effect instanceof Effect.CheckpointTask e) {
      callWorker(e.worker(), w -> client.checkpoint(w, e.attempt(), epoch));
    } else if (effect instanceof Effect.ThrottleTask e) {
      callWorker(e.worker(), w -> client.throttle(w, e.attempt(), epoch, e.percent()));
    } else if (effect instanceof Effect.JobChanged e) {
      jobChanged(e.status());
    } else if (effect instanceof Effect.RequestPermits e) {
      wantedPermits.put(e.team(), e.wanted());
    } else if (effect instanceof Effect.RaiseAlert e) {
      shard.runAfterUnlock(
          () -> context.observe(new EngineEvent.AlertRaised(e.code(), e.message())));
    }
  }

  private long acceptedMillis(Effect.StartTask e) {
    return scheduler.status(e.attempt().job()).map(JobStatus::acceptedMillis).orElse(0L);
  }

  private void callWorker(WorkerId worker, Consumer<WorkerInfo> call) {
    links.link(worker).ifPresent(l -> shard.runAfterUnlock(() -> call.accept(l.info)));
  }

  private void jobChanged(JobStatus s) {
    if (s.phase().isFinal() && traceContexts.remove(s.key()) != null) {
      long total = s.endedMillis() - s.acceptedMillis();
      scheduler
          .spec(s.key())
          .ifPresent(
              j ->
                  shard.runAfterUnlock(
                      () ->
                          context.observe(
                              new EngineEvent.JobEnded(
                                  s.key(), j.workloadClass(), s.phase(), total))));
    }
    if (context.authority().isHeld()) {
      waiters.statusChanged(s);
    } else {
      JobReply r = JobReply.of(Outcome.UNKNOWN, "the owner lost its lease");
      waiters.answerJob(s.key(), r);
    }
  }
}
