package dev.dandelionport.bench;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.AttemptOutcome;
import dev.dandelionport.core.scheduler.Effect;
import dev.dandelionport.core.scheduler.Event;
import dev.dandelionport.core.scheduler.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

/** Simulates a scenario in virtual time with in-memory workers and collects measurements. */
final class CellSimulator {

  private static final long TICK_MILLIS = 100;

  /** Time after which the task leases of an unreachable worker have expired, as in the engine. */
  private static final long WORKER_LOST_MILLIS = 16_000;

  private static final long FAILURE_DELAY_MILLIS = 50;

  private record ScheduledAction(long atMillis, long sequence, Runnable action) {}

  private record Run(JobSpec spec, long startedMillis, long remainingMillis) {}

  private static final class Worker {
    final WorkerInfo info;
    int incarnation = 1;
    boolean up = true;
    boolean failsEveryTask;
    final Map<AttemptId, Run> running = new LinkedHashMap<>();
    final List<SyncReply.Finished> finished = new ArrayList<>();

    Worker(WorkerInfo info) {
      this.info = info;
    }
  }

  private final Scenario scenario;
  private final BenchmarkScheduler scheduler;
  private final Measurements measurements = new Measurements();
  private final ShareSampler shares;
  private final MissedDeadlines missedDeadlines = new MissedDeadlines();
  private final Map<WorkerId, Worker> workers = new LinkedHashMap<>();
  private final Map<JobKey, Scenario.Arrival> arrivals = new HashMap<>();
  private final Map<String, Long> checkpointedMillis = new HashMap<>();
  private final Set<JobKey> urgentWaiting = new HashSet<>();
  private final Map<JobKey, Integer> remainingDeferrableTasks = new HashMap<>();
  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atMillis)
              .thenComparingLong(ScheduledAction::sequence));
  private final long endMillis;
  private long sequence;
  private long now = Scenario.START_MILLIS;

  CellSimulator(Scenario scenario, BenchmarkScheduler scheduler) {
    this.scenario = scenario;
    this.scheduler = scheduler;
    this.endMillis = Scenario.START_MILLIS + scenario.seconds() * 1_000L;
    this.shares = new ShareSampler(scenario);
  }

  Measurements run() {
    scenario.fleet().forEach(w -> workers.put(w.id(), new Worker(w)));
    handle(new Event.FleetChanged(scenario.fleet()));
    handle(new Event.PermitsChanged(scenario.permits()));
    if (scenario.failingWorker()) {
      workers.values().iterator().next().failsEveryTask = true;
    }
    workers.values().forEach(this::reportWorker);
    for (Scenario.Arrival a : scenario.arrivals()) {
      schedule(a.atMillis(), () -> submit(a));
    }
    schedule(now + TICK_MILLIS, this::tick);
    schedule(now + 1_000, this::sample);
    switch (scenario.outage()) {
      case DOMAIN_LOST -> scheduleOutage(w -> w.failureDomain().equals("d0"));
      case RACK_LOST -> scheduleOutage(w -> w.rack().equals("d0-0"));
      case DRAINS -> scheduleDrains();
      default -> {
        // No outage.
      }
    }
    while (!scheduledActions.isEmpty() && scheduledActions.peek().atMillis() <= endMillis) {
      ScheduledAction next = scheduledActions.poll();
      now = next.atMillis();
      next.action().run();
    }
    measurements.candidates = scheduler.candidatesExamined();
    measurements.urgentNeverStarted = urgentWaiting.size();
    shares.writeTo(measurements);
    measurements.missedByCause = missedDeadlines.countByCause();
    return measurements;
  }

  private long outageStartMillis() {
    return Scenario.START_MILLIS + scenario.seconds() * 1_000L / 3;
  }

  private long outageEndMillis() {
    return Scenario.START_MILLIS + scenario.seconds() * 2_000L / 3;
  }

  private void schedule(long atMillis, Runnable action) {
    scheduledActions.add(new ScheduledAction(atMillis, sequence++, action));
  }

  private void tick() {
    handle(new Event.Tick());
    schedule(now + TICK_MILLIS, this::tick);
  }

  private void sample() {
    // The first quarter is warm-up while the cell fills.
    if (now > Scenario.START_MILLIS + scenario.seconds() * 250L) {
      shares.sample();
    }
    schedule(now + 1_000, this::sample);
  }

  private void submit(Scenario.Arrival a) {
    JobSpec s = a.spec();
    arrivals.put(s.key(), a);
    shares.addWaiting(s, s.tasks());
    if (s.workloadClass() == WorkloadClass.URGENT) {
      measurements.urgentSubmitted++;
      urgentWaiting.add(s.key());
    } else if (s.workloadClass() == WorkloadClass.DEFERRABLE && s.deadlineMillis() < endMillis) {
      measurements.deferrableSubmitted++;
      remainingDeferrableTasks.put(s.key(), s.tasks());
      missedDeadlines.track(a);
    }
    handle(new Event.Submit(s));
  }

  private void handle(Event event) {
    for (Effect e : scheduler.handle(event, now)) {
      if (e instanceof Effect.StartTask x) {
        start(x);
      } else if (e instanceof Effect.StopTask x) {
        stop(x.attempt(), x.worker(), AttemptOutcome.STOPPED);
      } else if (e instanceof Effect.CheckpointTask x) {
        stop(x.attempt(), x.worker(), AttemptOutcome.CHECKPOINTED);
      } else if (e instanceof Effect.JobChanged x && x.status().phase().isFinal()) {
        shares.removeJob(x.status().key());
        missedDeadlines.ended(x.status());
      }
    }
  }

  private void start(Effect.StartTask e) {
    measurements.placements++;
    missedDeadlines.started(e.spec().key(), now);
    shares.recordStart(e.spec());
    if (urgentWaiting.remove(e.spec().key())) {
      measurements.urgentWaitMillis.recordValue(now - arrivals.get(e.spec().key()).atMillis());
    }
    Worker w = workers.get(e.worker());
    if (!w.up || !e.incarnation().equals("i" + w.incarnation)) {
      return;
    }
    long totalMillis = arrivals.get(e.spec().key()).runMillis();
    long remainingMillis = totalMillis - checkpointedMillis.getOrDefault(taskKey(e.attempt()), 0L);
    w.running.put(e.attempt(), new Run(e.spec(), now, remainingMillis));
    long endsAtMillis =
        now
            + (w.failsEveryTask
                ? Math.min(FAILURE_DELAY_MILLIS, remainingMillis)
                : remainingMillis);
    boolean fails = w.failsEveryTask;
    int incarnation = w.incarnation;
    schedule(
        endsAtMillis,
        () -> {
          if (w.incarnation == incarnation) {
            endAttempt(w, e.attempt(), fails ? AttemptOutcome.FAILED : AttemptOutcome.SUCCEEDED);
          }
        });
  }

  private static String taskKey(AttemptId a) {
    return a.job() + "#" + a.task();
  }

  private void stop(AttemptId a, WorkerId worker, AttemptOutcome outcome) {
    Worker w = workers.get(worker);
    Run r = w.running.get(a);
    if (r != null) {
      missedDeadlines.stopped(a.job());
      if (outcome == AttemptOutcome.CHECKPOINTED) {
        checkpointedMillis.merge(taskKey(a), now - r.startedMillis(), Long::sum);
      }
      // Scheduled as a later event, as the report of a real worker also arrives after the call.
      schedule(now + 20, () -> endAttempt(w, a, outcome));
    }
  }

  private void endAttempt(Worker w, AttemptId a, AttemptOutcome outcome) {
    Run r = w.running.remove(a);
    if (r == null) {
      return;
    }
    w.finished.add(new SyncReply.Finished(0, a, outcome, ""));
    if (outcome == AttemptOutcome.FAILED) {
      missedDeadlines.failed(a.job());
    }
    shares.recordEnd(r.spec(), outcome != AttemptOutcome.SUCCEEDED);
    if (outcome == AttemptOutcome.SUCCEEDED) {
      recordSuccess(r);
    }
    reportWorker(w);
  }

  private void recordSuccess(Run r) {
    JobSpec s = r.spec();
    double runSeconds = arrivals.get(s.key()).runMillis() / 1_000.0;
    measurements.slotSecondsTotal += runSeconds;
    if (now >= outageStartMillis() && now < outageEndMillis()) {
      measurements.slotSecondsDuringOutage += runSeconds;
    }
    Integer remaining = remainingDeferrableTasks.computeIfPresent(s.key(), (k, n) -> n - 1);
    if (remaining != null && remaining == 0 && now <= s.deadlineMillis()) {
      measurements.deferrableInTime++;
      missedDeadlines.met(s.key());
    }
  }

  private void reportWorker(Worker w) {
    if (!w.up) {
      return;
    }
    List<SyncReply.Running> running = new ArrayList<>();
    w.running.forEach(
        (a, r) -> running.add(new SyncReply.Running(a, r.spec().taskSize(), r.startedMillis())));
    List<SyncReply.Finished> finished = List.copyOf(w.finished);
    w.finished.clear();
    handle(
        new Event.WorkerReport(
            w.info.id(),
            new SyncReply(
                "i" + w.incarnation, now, running, finished, ResourceVector.ZERO, false)));
  }

  private void scheduleOutage(Predicate<WorkerInfo> lost) {
    schedule(outageStartMillis(), () -> failWorkers(lost));
    schedule(outageEndMillis(), this::restoreWorkers);
  }

  private void scheduleDrains() {
    long stepMillis = (outageEndMillis() - outageStartMillis()) / 3;
    for (int d = 0; d < 3; d++) {
      String domain = "d" + d;
      long version = 2 + 2L * d;
      Manifest drained = scenario.manifest(version, domain);
      Manifest restored = scenario.manifest(version + 1, "");
      schedule(
          outageStartMillis() + d * stepMillis, () -> handle(new Event.ManifestChanged(drained)));
      schedule(
          outageStartMillis() + d * stepMillis + stepMillis * 9 / 10,
          () -> handle(new Event.ManifestChanged(restored)));
    }
  }

  private void failWorkers(Predicate<WorkerInfo> lost) {
    for (Worker w : workers.values()) {
      if (lost.test(w.info)) {
        w.up = false;
        w.incarnation++;
        w.running.values().forEach(r -> shares.recordEnd(r.spec(), true));
        w.running.keySet().forEach(a -> missedDeadlines.lost(a.job()));
        w.running.clear();
        w.finished.clear();
        schedule(now + 300, () -> handle(new Event.WorkerUnresponsive(w.info.id())));
        schedule(now + WORKER_LOST_MILLIS, () -> handle(new Event.WorkerLost(w.info.id())));
      }
    }
  }

  private void restoreWorkers() {
    for (Worker w : workers.values()) {
      if (!w.up) {
        w.up = true;
        reportWorker(w);
      }
    }
  }

  /** Returns the teams that had waiting work in any sample; for tests. */
  Set<TeamId> teams() {
    return shares.teams();
  }
}
