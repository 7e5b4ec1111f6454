package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates a scheduler, runners and an advice service in virtual time. The service handles one
 * call at a time per lane and rejects calls that name too many runners. Starts take effect
 * immediately, and a run lasts until the test ends it.
 */
final class AdviceSimulation {

  /** Maximum number of runners that the service accepts in one call. */
  static final int MAX_RUNNERS_PER_CALL = 100;

  static final ResourceVector CAPACITY = new ResourceVector(0, 0, 64_000, 131_072, 0);

  /** The queue whose steps need advice. */
  static final String ADVISED = "advised";

  static final String URGENT = "urgent";
  static final String PLAIN = "plain";

  private static final long STEP_MILLIS = 5;
  private static final long TICK_MILLIS = 100;

  /** Fixed call time above which a call may not use the lanes for short calls, in milliseconds. */
  private static final double LONG_CALL_MILLIS = 60;

  private static final int RUNNERS_PER_RACK = 8;
  private static final int DOMAINS = 3;

  /** Decides whether a step may run on a runner. */
  interface AdviceRule {
    boolean allows(StepKey step, String runner);
  }

  /** A pending call. */
  private record Call(AdviceRequest request, long answerMillis) {}

  final WorkflowScheduler scheduler =
      new WorkflowScheduler(new WorkflowLimits(3_000, 200, 3, 2_000, 120_000));
  final List<AdviceRequest> requests = new ArrayList<>();
  final List<String> runners = new ArrayList<>();
  long now = 10_000;

  /** Number of calls that the service rejected. */
  int refusedCalls;

  private final Map<String, RunnerDescription> descriptions = new TreeMap<>();
  private final Map<String, List<WorkflowEffect.Start>> running = new HashMap<>();
  private final Map<String, Long> placedMillis = new HashMap<>();

  /** Runners that the scheduler holds back because of their health. */
  final Set<String> heldRunners = new HashSet<>();

  /** Latest log entry on the waiting of each step. */
  final Map<String, List<Object>> lastWaits = new HashMap<>();

  private final Advice advice;
  private final AdviceRule rule;
  private final Call[] lanes;
  private long nextTickMillis = now;
  private long lastEndNumber;

  AdviceSimulation(int runnerCount, int laneCount, Advice advice, AdviceRule rule) {
    this.advice = advice;
    this.rule = rule;
    this.lanes = new Call[laneCount];
    updateTime();
    Map<String, Queue> queues = new TreeMap<>();
    queues.put(URGENT, queue(URGENT, 0, Optional.empty()));
    queues.put(ADVISED, queue(ADVISED, 1, Optional.of(advice)));
    queues.put(PLAIN, queue(PLAIN, 2, Optional.empty()));
    Account account = new Account("a", List.of("key"), 1_000, ResourceVector.ZERO);
    scheduler.setPolicy(new ClusterPolicy(1, queues, Map.of(), Map.of("a", account)));
    for (int i = 0; i < runnerCount; i++) {
      String id = String.format("r%03d", i);
      List<String> labels = List.of(id, "rack" + i / RUNNERS_PER_RACK);
      descriptions.put(
          id,
          new RunnerDescription(
              id, 1, "svc", id + ":1", "fd" + i % DOMAINS, CAPACITY, labels, false));
      runners.add(id);
    }
    scheduler.setRunners(List.copyOf(descriptions.values()));
    for (String id : runners) {
      scheduler.report(id, new RunnerReport(1, now, List.of(), List.of(), true), now);
    }
    carryOut();
  }

  private static Queue queue(String name, int priority, Optional<Advice> advice) {
    return new Queue(
        name, "host", "/" + name + "/", 3_000, 20_000, priority, "svc", 3, 3, advice, false);
  }

  /** Returns a rule that allows a fraction of the runners, a different subset for each step. */
  static AdviceRule allowFraction(double fraction, long seed) {
    return (step, runner) -> {
      long h = 31 * (31 * seed + step.toString().hashCode()) + runner.hashCode();
      h = (h ^ h >>> 31) * 0x9E3779B97F4A7C15L;
      h = (h ^ h >>> 29) * 0xBF58476D1CE4E5B9L;
      return (h >>> 11) * 0x1.0p-53 < fraction;
    };
  }

  boolean allows(String workflow, String runner) {
    return rule.allows(new StepKey(workflow, 0, 0), runner);
  }

  /** Returns a step with one task that is bound to a runner. */
  static StepSpec taskOn(String runner, long milliCores, long memoryMb) {
    StepSpec s = StepSpecs.of(1, new ResourceVector(0, 0, milliCores, memoryMb, 0), 600_000);
    return new StepSpec(
        s.tasks(),
        s.size(),
        s.estimateMillis(),
        s.dependencies(),
        false,
        false,
        false,
        runner,
        "",
        0,
        false,
        false,
        false,
        "",
        0,
        0);
  }

  void submit(String id, String queue, StepSpec... steps) {
    updateTime();
    scheduler.submit(
        new WorkflowSpec(id, queue, "a", "payload", List.of(steps), Recurrence.ONCE, false));
  }

  /** Advances the time. */
  void run(long millis) {
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      step();
    }
  }

  /**
   * Advances the time until {@code tasks} tasks of a workflow run; returns whether they do within
   * {@code millis}.
   */
  boolean runUntilStarted(String workflow, int tasks, long millis) {
    for (long end = now + millis; now <= end; now += STEP_MILLIS) {
      step();
      if (running(workflow).size() >= tasks) {
        return true;
      }
    }
    return false;
  }

  private void step() {
    updateTime();
    if (now >= nextTickMillis) {
      nextTickMillis = now + TICK_MILLIS;
      scheduler.tick();
    }
    completeCalls();
    scheduler.place();
    carryOut();
    startCalls();
  }

  private void completeCalls() {
    for (int i = 0; i < lanes.length; i++) {
      Call c = lanes[i];
      if (c == null || c.answerMillis() > now) {
        continue;
      }
      lanes[i] = null;
      AdviceRequest request = c.request();
      Map<String, String> tickets = new HashMap<>();
      for (String r : request.runners()) {
        if (rule.allows(request.step(), r)) {
          tickets.put(r, request.step() + "@" + r + "@" + now);
        }
      }
      boolean tooMany = request.runners().size() > MAX_RUNNERS_PER_CALL;
      refusedCalls += tooMany ? 1 : 0;
      scheduler.handleAdvice(
          request.step(), request.runners(), tooMany ? null : tickets, advice.validMillis());
    }
  }

  private void startCalls() {
    int shortLanes = lanes.length < 2 ? 0 : Math.max(1, lanes.length / 3);
    for (int i = 0; i < lanes.length; i++) {
      if (lanes[i] != null) {
        continue;
      }
      Optional<AdviceRequest> request =
          scheduler.nextAdviceRequest(i < shortLanes ? LONG_CALL_MILLIS : Double.MAX_VALUE);
      if (request.isPresent()) {
        requests.add(request.get());
        double cost =
            advice.decideMillis() + request.get().runners().size() * advice.perRunnerMillis();
        lanes[i] = new Call(request.get(), now + (long) Math.ceil(cost));
      }
    }
  }

  private void carryOut() {
    for (WorkflowEffect e : scheduler.takeDecision().effects()) {
      if (e instanceof WorkflowEffect.Start s
          && scheduler.prepareStart(s.task(), s.run(), s.runner()).isPresent()) {
        scheduler.handleStartResult(s.task(), s.run(), s.runner(), StartResult.PRESENT);
        running.computeIfAbsent(s.task().workflow(), k -> new ArrayList<>()).add(s);
        placedMillis.putIfAbsent(s.task().workflow(), now);
      } else if (e instanceof WorkflowEffect.LogEntry n) {
        recordLog(n);
      }
    }
  }

  private void recordLog(WorkflowEffect.LogEntry n) {
    String subject = n.fields().get(1).toString();
    if (n.topic() == WorkflowEffect.Topic.WAITING) {
      lastWaits.put(subject, n.fields());
    } else if (n.topic() == WorkflowEffect.Topic.RUNNER_HELD) {
      boolean held = n.fields().get(3).equals(true);
      heldRunners.add(subject);
      heldRunners.removeIf(r -> !held && r.equals(subject));
    }
  }

  /** Returns the active runs of a workflow. */
  List<WorkflowEffect.Start> running(String workflow) {
    return running.getOrDefault(workflow, List.of());
  }

  /** Ends all runs of a workflow successfully. */
  void end(String workflow) {
    updateTime();
    List<WorkflowEffect.Start> list = running.remove(workflow);
    for (WorkflowEffect.Start s : list == null ? List.<WorkflowEffect.Start>of() : list) {
      report(s, RunEnd.DONE);
    }
    carryOut();
  }

  /** Ends all runs on a runner as if their lease had expired. */
  void loseRuns(String runner) {
    updateTime();
    for (List<WorkflowEffect.Start> list : running.values()) {
      for (WorkflowEffect.Start s : List.copyOf(list)) {
        if (s.runner().equals(runner)) {
          list.remove(s);
          report(s, RunEnd.LAPSED);
        }
      }
    }
    carryOut();
  }

  private void report(WorkflowEffect.Start s, RunEnd outcome) {
    var end = new RunnerReport.End(++lastEndNumber, s.task(), s.run(), outcome, "");
    // The report's call was sent long ago, so missing runs do not count as lost.
    scheduler.report(
        s.runner(), new RunnerReport(1, now, List.of(), List.of(end), true), now - 100_000);
  }

  /** Restarts a runner that has no runs. */
  void restartRunner(String runner) {
    updateTime();
    descriptions.computeIfPresent(runner, (k, d) -> WorkflowFixture.restarted(d, 2));
    scheduler.setRunners(List.copyOf(descriptions.values()));
    scheduler.report(runner, new RunnerReport(2, now, List.of(), List.of(), true), now);
    carryOut();
  }

  /** Returns the runners named in calls for a workflow. */
  Set<String> requestedRunners(String workflow) {
    Set<String> set = new HashSet<>();
    for (AdviceRequest a : requests) {
      if (a.step().workflow().equals(workflow)) {
        set.addAll(a.runners());
      }
    }
    return set;
  }

  private void updateTime() {
    scheduler.setTime(now, 1_000_000 + now);
  }
}
