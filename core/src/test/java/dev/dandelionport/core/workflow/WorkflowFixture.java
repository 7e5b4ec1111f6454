package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** A scheduler with two runners, and shorthand methods for the events of the tests. */
final class WorkflowFixture {

  static final ResourceVector CAPACITY = new ResourceVector(0, 0, 16_000, 32_000, 0);

  final WorkflowScheduler scheduler;
  final List<WorkflowRecord> journal = new ArrayList<>();
  final List<WorkflowEffect> effects = new ArrayList<>();
  final Set<String> draining = new java.util.HashSet<>();

  /** Entries of the runners, by id. */
  private final Map<String, RunnerDescription> entries = new TreeMap<>();

  long now = 10_000;
  private long lastEndNumber;

  WorkflowFixture() {
    this(false);
  }

  /** Creates a scheduler that compares accounts with their fair shares, if this is asked for. */
  WorkflowFixture(boolean fairShares) {
    this(List.of(), fairShares);
    for (String id : List.of("r1", "r2")) {
      report(id, 1, List.of(), List.of());
    }
    effects.clear();
  }

  /** Creates the scheduler of an owner that has read a history but no report of a runner. */
  WorkflowFixture(List<WorkflowRecord> history) {
    this(history, false);
  }

  private WorkflowFixture(List<WorkflowRecord> history, boolean fairShares) {
    scheduler =
        new WorkflowScheduler(
            new WorkflowLimits(3_000, 200, 3, 2_000, 120_000, true, true, fairShares));
    updateTime();
    history.forEach(scheduler::replay);
    scheduler.finishReplay();
    scheduler.setPolicy(policy(1, ResourceVector.ZERO));
    list("r1", 1, CAPACITY, "a");
    list("r2", 1, CAPACITY, "a");
  }

  static ClusterPolicy policy(long version, ResourceVector ceiling) {
    Map<String, Queue> queues = Map.of("urgent", queue("urgent", 0), "batch", queue("batch", 2));
    Map<String, Account> accounts = Map.of("a", new Account("a", List.of("key"), 1_000, ceiling));
    return new ClusterPolicy(version, queues, Map.of(), accounts);
  }

  private static Queue queue(String name, int priority) {
    return new Queue(
        name, "host", "/" + name + "/", 3_000, 250, priority, "svc", 3, 2, Optional.empty(), false);
  }

  void updateRunners() {
    entries.replaceAll((id, d) -> copy(d, d.incarnation(), draining.contains(id)));
    scheduler.setRunners(List.copyOf(entries.values()));
  }

  /** Reads the first entry of an incarnation of a runner. */
  void list(String id, long incarnation, ResourceVector capacity, String kind) {
    List<String> labels = List.of(kind, "rack");
    entries.put(
        id,
        new RunnerDescription(
            id, incarnation, "svc", id + ":1", "fd-" + id, capacity, labels, false));
    updateTime();
    updateRunners();
    collectDecision();
  }

  /** Returns the description of the next incarnation of a runner. */
  static RunnerDescription restarted(RunnerDescription d, long incarnation) {
    return copy(d, incarnation, d.draining());
  }

  private static RunnerDescription copy(RunnerDescription d, long incarnation, boolean draining) {
    return new RunnerDescription(
        d.id(),
        incarnation,
        d.service(),
        d.address(),
        d.failureDomain(),
        d.capacity(),
        d.labels(),
        draining);
  }

  static StepSpec step(int tasks, long milliCores, Integer... dependencies) {
    return StepSpecs.of(tasks, new ResourceVector(0, 0, milliCores, 100, 0), 1_000, dependencies);
  }

  static StepSpec gang(int tasks, long milliCores) {
    return StepSpecs.gang(tasks, new ResourceVector(0, 0, milliCores, 100, 0), 1_000);
  }

  void submit(String id, String queue, StepSpec... steps) {
    submitWithoutPass(id, queue, steps);
    place();
  }

  void submitWithoutPass(String id, String queue, StepSpec... steps) {
    updateTime();
    scheduler.submit(
        new WorkflowSpec(id, queue, "a", "payload", List.of(steps), Recurrence.ONCE, false));
  }

  /** Drains one of the two runners and fails runs on the other until it is quarantined. */
  void quarantineOnlyRunner() {
    draining.add("r2");
    updateRunners();
    for (int i = 0; i < 4; i++) {
      submit("bad" + i, "batch", step(1, 100));
      answerStarts(StartResult.PRESENT).forEach(s -> end(s, RunEnd.FAILED, ""));
      scheduler.cancel("bad" + i);
    }
  }

  /** Runs a placement pass and collects its decision. */
  void place() {
    updateTime();
    scheduler.place();
    collectDecision();
  }

  /** Runs a placement pass with a limit of starts and collects its decision. */
  void place(int maxStarts) {
    updateTime();
    scheduler.place(maxStarts);
    collectDecision();
  }

  void collectDecision() {
    WorkflowDecision d = scheduler.takeDecision();
    journal.addAll(d.records());
    effects.addAll(d.effects());
  }

  void updateTime() {
    scheduler.setTime(now, 1_000_000 + now);
  }

  /** Returns and removes the collected starts. */
  List<WorkflowEffect.Start> starts() {
    List<WorkflowEffect.Start> list = new ArrayList<>();
    for (WorkflowEffect e : List.copyOf(effects)) {
      if (e instanceof WorkflowEffect.Start s) {
        list.add(s);
        effects.remove(e);
      }
    }
    return list;
  }

  List<WorkflowEffect.Stop> stops() {
    List<WorkflowEffect.Stop> list = new ArrayList<>();
    effects.forEach(
        e -> {
          if (e instanceof WorkflowEffect.Stop s) {
            list.add(s);
          }
        });
    return list;
  }

  /** Sends the collected starts and answers all of them with the same result. */
  List<WorkflowEffect.Start> answerStarts(StartResult result) {
    List<WorkflowEffect.Start> list = starts();
    answerStarts(list, result);
    return list;
  }

  /** Sends starts and answers all of them with the same result. */
  void answerStarts(List<WorkflowEffect.Start> list, StartResult result) {
    for (WorkflowEffect.Start s : list) {
      updateTime();
      if (scheduler.prepareStart(s.task(), s.run(), s.runner()).isPresent()) {
        scheduler.handleStartResult(s.task(), s.run(), s.runner(), result);
      }
    }
    collectDecision();
  }

  void end(WorkflowEffect.Start s, RunEnd outcome, String checkpoint) {
    now += 10;
    report(
        s.runner(),
        1,
        List.of(),
        List.of(new RunnerReport.End(++lastEndNumber, s.task(), s.run(), outcome, checkpoint)),
        now - 100_000);
  }

  void report(
      String runner,
      long incarnation,
      List<RunnerReport.Running> running,
      List<RunnerReport.End> list) {
    report(runner, incarnation, running, list, now);
  }

  /** Passes in a report; if its call was sent long ago, missing runs do not count as lost. */
  void report(
      String runner,
      long incarnation,
      List<RunnerReport.Running> running,
      List<RunnerReport.End> list,
      long sentMillis) {
    updateTime();
    scheduler.report(runner, new RunnerReport(incarnation, now, running, list, true), sentMillis);
    collectDecision();
  }

  static RunnerReport.Running running(WorkflowEffect.Start s, String checkpoint) {
    return new RunnerReport.Running(s.task(), s.run(), checkpoint, 100, 1);
  }
}
