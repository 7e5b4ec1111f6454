package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** State shared by the components of {@link WorkflowScheduler}. */
final class CellState {
  final WorkflowLimits limits;
  final Map<String, Workflow> workflows = new LinkedHashMap<>();
  final Map<String, Runner> runners = new TreeMap<>();
  final RunTimeStatistics runTimes = new RunTimeStatistics();

  /**
   * Steps whose dependencies are done and that have unfinished tasks, in the order in which they
   * are placed within a rank.
   */
  final TreeSet<Step> ready =
      new TreeSet<>(
          Comparator.comparingInt((Step s) -> s.priority)
              .thenComparingLong(s -> s.dueMillis)
              .thenComparing(s -> s.key.toString()));

  final AccountShares shares = new AccountShares(this);

  ClusterPolicy policy = ClusterPolicy.NONE;
  Set<String> closedDomains = Set.of();

  /** The owner's monotonic clock, in milliseconds. */
  long now;

  /** Wall-clock time, milliseconds since 1970. */
  long wallMillis;

  /** Newest version of the configuration that any owner has applied; -1 for none. */
  long appliedPolicyVersion = -1;

  /** Number of starts intended so far. */
  long startsIntended;

  /** Number of times that a run occupied or released capacity of its runner. */
  long occupancyVersion;

  private List<WorkflowRecord> records = new ArrayList<>();
  private List<WorkflowEffect> effects = new ArrayList<>();

  CellState(WorkflowLimits limits) {
    this.limits = limits;
  }

  void addRecord(WorkflowRecord r) {
    records.add(r);
  }

  void addEffect(WorkflowEffect e) {
    effects.add(e);
  }

  void log(WorkflowEffect.Topic topic, Object... fields) {
    effects.add(new WorkflowEffect.LogEntry(topic, List.of(fields)));
  }

  WorkflowDecision takeDecision() {
    WorkflowDecision d = new WorkflowDecision(records, effects);
    records = new ArrayList<>();
    effects = new ArrayList<>();
    return d;
  }

  Task task(TaskKey k) {
    Workflow w = workflows.get(k.workflow());
    Step s = w == null ? null : w.step(k.occurrence(), k.step());
    return s == null || k.index() < 0 || k.index() >= s.tasks.size()
        ? null
        : s.tasks.get(k.index());
  }

  Step step(StepKey k) {
    Workflow w = workflows.get(k.workflow());
    return w == null ? null : w.step(k.occurrence(), k.step());
  }

  /** Returns a run on a runner, or null. */
  Run run(TaskKey task, int number, String runner) {
    Runner r = runners.get(runner);
    return r == null ? null : r.findRun(task, number);
  }

  Queue queueOf(Step s) {
    return policy.queues().get(s.workflow.spec.queue());
  }

  /** Returns whether a runner may get work, regardless of the kind of work and of its health. */
  boolean takesWork(Runner r) {
    return r.isReady() && !closedDomains.contains(r.description().failureDomain());
  }

  /** Returns whether a runner may run a step of a queue, regardless of room, health and advice. */
  boolean mayRun(Runner r, Step s, Queue q) {
    String label = s.spec.requiredLabel();
    return takesWork(r)
        && r.description().service().equals(q.service())
        && (label.isEmpty() || r.description().labels().contains(label));
  }

  /** Adds a run to the resources in use on its runner and by its account. */
  void occupy(Run r) {
    Queue q = queueOf(r.task.step);
    r.urgent = q != null && q.priority() == 0;
    r.runner.add(r);
    occupancyVersion++;
    shares.add(r);
  }

  /** Releases the resources of a run. */
  void release(Run r) {
    r.runner.remove(r);
    occupancyVersion++;
    shares.remove(r);
  }

  /** Returns how many more tasks of a step its account's ceiling permits. */
  int tasksBelowCeiling(Step s) {
    ClusterPolicy.Account a = policy.accounts().get(s.workflow.spec.account());
    if (a == null) {
      return Integer.MAX_VALUE;
    }
    return countBelowCeiling(s.spec.size(), a.ceiling(), shares.used(a.name()));
  }

  /** Returns how many more tasks of a size a ceiling permits. */
  static int countBelowCeiling(ResourceVector size, ResourceVector c, ResourceVector used) {
    return size.countFittingIn(
        new ResourceVector(
            0,
            0,
            remaining(c.milliCores(), used.milliCores()),
            remaining(c.memoryMb(), used.memoryMb()),
            (int) remaining(c.accelerators(), used.accelerators())));
  }

  /** Returns the amount left below a ceiling; a ceiling of 0 means no limit. */
  private static long remaining(long ceiling, long used) {
    return ceiling <= 0 ? Integer.MAX_VALUE : Math.max(0, ceiling - used);
  }

  /**
   * Computes the priority and the due time of a step and inserts it into the ready steps if it has
   * unfinished tasks.
   */
  void enqueue(Step s) {
    ready.remove(s);
    Queue q = queueOf(s);
    s.priority = q == null ? Integer.MAX_VALUE : q.priority();
    double slackFactor = q == null ? 1 : q.slackFactor();
    long allowanceMillis = q == null ? 0 : q.allowanceMillis();
    long startMillis = s.workflow.acceptedMillis;
    long dueWallMillis = s.workflow.spec.recurrence().dueMillis(s.key.occurrence());
    if (dueWallMillis > 0) {
      startMillis = now + dueWallMillis - wallMillis;
    }
    s.dueMillis =
        startMillis + allowanceMillis + (long) (slackFactor * s.workflow.spec.criticalPathMillis());
    if (s.isReady()) {
      ready.add(s);
    }
  }
}
