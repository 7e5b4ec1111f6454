package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.journal.JournalRecord;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A scheduler with simulated workers in virtual time; checks invariants at every start. */
final class TestCell {
  static final PartitionId PARTITION = new PartitionId("r", 0);

  /** A simulated worker that runs every attempt sent to it; its clock is the virtual time. */
  final class FakeWorker {
    final WorkerInfo info;
    String incarnation = "i1";
    boolean reachable = true;
    final Map<AttemptId, ResourceVector> running = new LinkedHashMap<>();
    final List<SyncReply.Finished> finished = new ArrayList<>();

    FakeWorker(WorkerInfo info) {
      this.info = info;
    }

    void end(AttemptId a, AttemptOutcome outcome, String result) {
      if (running.remove(a) != null) {
        finished.add(new SyncReply.Finished(0, a, outcome, result));
      }
    }
  }

  final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
  final List<JournalRecord> journal = new ArrayList<>();
  final List<Effect> effects = new ArrayList<>();
  final Map<JobKey, JobSpec> specs = new HashMap<>();
  final Set<JobKey> startedJobs = new HashSet<>();
  final Map<String, Integer> runsByTask = new HashMap<>();
  PartitionScheduler scheduler;
  Manifest manifest;
  long now = TestSpecs.START_MILLIS;
  int permitsPerTeam;
  boolean dropStops;
  boolean checkTeamLimit = true;
  private final Set<WorkerId> reportedWorkers = new HashSet<>();
  private long openedMillis;
  private boolean placementAllowed;

  /** Creates a cell whose workers have all reported. */
  TestCell(int workerCount, int slots, int limit) {
    manifest = TestSpecs.manifest(limit, Set.of());
    for (int i = 0; i < workerCount; i++) {
      WorkerInfo w = TestSpecs.worker(i, slots);
      workers.put(w.id(), new FakeWorker(w));
    }
    permitsPerTeam = limit;
    replaceOwner(1, List.of());
    reportAll();
  }

  /** Allows placement once all workers have reported or 1.5 s have passed, as the engine does. */
  private void allowPlacement() {
    boolean allReported = !workers.isEmpty() && reportedWorkers.containsAll(workers.keySet());
    if (!placementAllowed && (allReported || now - openedMillis >= 1_500)) {
      placementAllowed = true;
      handle(new Event.PlacementAllowed(true));
    }
  }

  /** Replaces the owner by one that has only {@code records}. */
  void replaceOwner(long epoch, List<JournalRecord> records) {
    scheduler = new PartitionScheduler(PARTITION, epoch, manifest, records);
    journal.clear();
    journal.addAll(records);
    openedMillis = now;
    placementAllowed = false;
    reportedWorkers.clear();
    handle(new Event.PlacementAllowed(false));
    setPermits(permitsPerTeam);
    handle(new Event.FleetChanged(workers.values().stream().map(w -> w.info).toList()));
  }

  void setPermits(int n) {
    permitsPerTeam = n;
    Map<TeamId, Integer> m = new HashMap<>();
    manifest.teams().forEach(t -> m.put(new TeamId(t.id()), n));
    handle(new Event.PermitsChanged(m));
  }

  void setManifest(Manifest m) {
    manifest = m;
    handle(new Event.ManifestChanged(m));
  }

  void submit(JobSpec s) {
    specs.put(s.key(), s);
    handle(new Event.Submit(s));
  }

  JobStatus status(JobSpec s) {
    return scheduler.status(s.key()).orElseThrow();
  }

  FakeWorker worker(int i) {
    return workers.get(TestSpecs.worker(i, 1).id());
  }

  void handle(Event e) {
    Decision d = scheduler.handle(e, now);
    journal.addAll(d.records());
    effects.addAll(d.effects());
    d.effects().forEach(this::execute);
  }

  private void execute(Effect e) {
    if (e instanceof Effect.StartTask x) {
      start(x);
    } else if (e instanceof Effect.StopTask x && !dropStops) {
      workers.get(x.worker()).end(x.attempt(), AttemptOutcome.STOPPED, "");
    } else if (e instanceof Effect.CheckpointTask x && !dropStops) {
      workers.get(x.worker()).end(x.attempt(), AttemptOutcome.CHECKPOINTED, "");
    } else if (e instanceof Effect.JobChanged x && x.status().phase() == JobPhase.NOT_RUN) {
      assertThat(startedJobs).doesNotContain(x.status().key());
    }
  }

  private void start(Effect.StartTask x) {
    FakeWorker w = workers.get(x.worker());
    if (!scheduler.shouldSendStart(x.attempt())) {
      handle(new Event.StartRefused(x.attempt(), "no longer wanted"));
      return;
    }
    assertThat(manifest.inService(w.info.failureDomain())).as("domain in service").isTrue();
    handle(new Event.StartSent(x.attempt(), now + 2_000));
    if (!w.reachable || !w.incarnation.equals(x.incarnation())) {
      return;
    }
    String task = x.attempt().job() + "#" + x.attempt().task();
    for (FakeWorker other : workers.values()) {
      assertThat(other.running.keySet())
          .as("task in two places")
          .noneMatch(a -> (a.job() + "#" + a.task()).equals(task));
    }
    w.running.put(x.attempt(), x.spec().taskSize());
    startedJobs.add(x.attempt().job());
    int runs = runsByTask.merge(task, 1, Integer::sum);
    assertThat(x.spec().repeatable() || runs == 1).as("not repeatable runs once").isTrue();
    ResourceVector used = w.running.values().stream().reduce(ResourceVector::plus).orElseThrow();
    assertThat(used.fitsIn(w.info.capacity())).as("capacity of %s", w.info.id()).isTrue();
    TeamId team = x.attempt().job().team();
    assertThat(!checkTeamLimit || runningOf(team) <= permitsPerTeam)
        .as("limit of %s", team)
        .isTrue();
  }

  long runningOf(TeamId team) {
    return workers.values().stream()
        .flatMap(w -> w.running.keySet().stream())
        .filter(a -> a.job().team().equals(team))
        .count();
  }

  /** Returns the running attempts of a job. */
  List<AttemptId> running(JobSpec s) {
    return workers.values().stream()
        .flatMap(w -> w.running.keySet().stream())
        .filter(a -> a.job().equals(s.key()))
        .toList();
  }

  WorkerId workerOf(JobSpec s) {
    return workers.values().stream()
        .filter(w -> w.running.keySet().stream().anyMatch(a -> a.job().equals(s.key())))
        .map(w -> w.info.id())
        .findFirst()
        .orElse(null);
  }

  void finish(JobSpec s, AttemptOutcome outcome) {
    for (AttemptId a : running(s)) {
      workers.values().forEach(w -> w.end(a, outcome, "r"));
    }
    reportAll();
  }

  void report(FakeWorker w) {
    if (!w.reachable) {
      return;
    }
    List<SyncReply.Running> running = new ArrayList<>();
    w.running.forEach((a, size) -> running.add(new SyncReply.Running(a, size, 0)));
    List<SyncReply.Finished> finished = List.copyOf(w.finished);
    w.finished.clear();
    handle(
        new Event.WorkerReport(
            w.info.id(),
            new SyncReply(w.incarnation, now, running, finished, ResourceVector.ZERO, false)));
    reportedWorkers.add(w.info.id());
    allowPlacement();
  }

  void reportAll() {
    List.copyOf(workers.values()).forEach(this::report);
  }

  /** Advances the time in steps of 100 ms, each with a tick and reports of all workers. */
  void advance(long millis) {
    for (long end = now + millis; now < end; ) {
      now += 100;
      handle(new Event.Tick());
      allowPlacement();
      reportAll();
    }
  }

  long count(Class<? extends Effect> kind) {
    return effects.stream().filter(kind::isInstance).count();
  }
}
