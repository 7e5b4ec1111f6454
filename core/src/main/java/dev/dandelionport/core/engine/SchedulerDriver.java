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
 * Feeds the scheduler one event after another, makes its records durable and carries its effects
 * out. An event that arises while another is handled waits, so that records are appended in the
 * order in which they were made. Guarded by the partition's shard.
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

  /** Returns figures about the partition; the caller holds the shard. */
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

  /** Puts the team limits of this partition in force. */
  void setPermits(Map<TeamId, Integer> permits) {
    permitsKnown = true;
    handle(new Event.PermitsChanged(permits));
  }

  /** Returns how many permits each team that is held back has use for, and forgets them. */
  Map<TeamId, Integer> takeWantedPermits() {
    Map<TeamId, Integer> taken = new HashMap<>(wantedPermits);
    wantedPermits.clear();
    return taken;
  }

  /** Lets tasks start from now on, whenever the owner may serve. */
  void setReady() {
    ready = true;
    handle(new Event.Tick());
  }

  /** Handles no further event; effects that wait for a commit are not carried out. */
  void stop() {
    stopped = true;
    events.clear();
  }

  /** Notes the trace of a job that is about to be submitted. */
  void jobAccepted(JobSpec spec, String traceparent) {
    traceContexts.put(spec.key(), traceparent);
    shard.runAfterUnlock(
        () -> context.observe(new EngineEvent.JobAccepted(spec.key(), spec.workloadClass())));
  }

  /** Runs an action once all records made so far are durable. */
  void afterCommit(Runnable action) {
    journal.append(List.of(), action);
  }

  /** Handles an event, now or after the one that is being handled. */
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
    Decision d = scheduler.handle(event, context.engine().time().wallMillis());
    List<Effect> afterCommit = new ArrayList<>();
    List<Effect.StartTask> startedEarly = new ArrayList<>();
    // Opened before the effects, because the end of a job forgets its trace context.
    final Consumer<Boolean> endSpans = openSpans(event, d);
    int starting = 0;
    for (Effect e : d.effects()) {
      starting += e instanceof Effect.StartTask ? 1 : 0;
      if (e.afterCommit()) {
        afterCommit.add(e);
      } else {
        execute(e);
        if (e instanceof Effect.StartTask s) {
          startedEarly.add(s);
        }
      }
    }
    if (starting > 0) {
      context.budget().recordPlacements(starting);
    }
    if (!d.records().isEmpty() || !afterCommit.isEmpty()) {
      journal.append(
          d.records(),
          () -> {
            endSpans.accept(true);
            startedEarly.forEach(s -> links.markDurable(s.worker(), s.attempt()));
            afterCommit.forEach(this::executeAfterCommit);
          });
    }
  }

  /** Opens a span for the records of a submitted job, and one for a job's end. */
  private Consumer<Boolean> openSpans(Event event, Decision d) {
    List<CompletableFuture<Tracing.Span>> spans = new ArrayList<>();
    if (event instanceof Event.Submit s && traceContexts.containsKey(s.spec().key())) {
      openSpan("commit", s.spec().key(), spans);
    }
    for (Effect e : d.effects()) {
      if (e instanceof Effect.JobChanged c && c.status().phase().isFinal()) {
        openSpan("result", c.status().key(), spans);
      }
    }
    return ok -> spans.forEach(f -> shard.runAfterUnlock(() -> f.thenAccept(s -> s.end(ok))));
  }

  /** Opens a span; another thread may commit the records before this one has opened it. */
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
