package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.Recurrence;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.TaskKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Records what clients and runners observe of workflows, and checks the invariants that a start
 * must satisfy. Collects violations instead of failing immediately.
 */
final class PlatformInvariants {

  /**
   * Time after an acknowledged cancellation, or after a store change that takes a runner out of
   * service, from which no affected task may start, in milliseconds.
   */
  private static final long PROPAGATION_MILLIS = 2_000;

  /**
   * Time after the end of all faults from which invariants with a time bound hold, in milliseconds.
   */
  private static final long FAULT_RECOVERY_MILLIS = 8_000;

  /** A workflow as a client submitted it; times are in virtual milliseconds, 0 for never. */
  static final class Submitted {
    final String queue;
    final String account;
    final List<StepSpec> steps;
    final Recurrence recurrence;
    boolean accepted;
    boolean refused;
    boolean cancelSent;
    long cancelledMillis;

    Submitted(String queue, String account, List<StepSpec> steps, Recurrence recurrence) {
      this.queue = queue;
      this.account = account;
      this.steps = steps;
      this.recurrence = recurrence;
    }
  }

  /** A run that ended as done; {@code key} is that under which failures are recorded. */
  private record DoneRun(TaskKey key, int run) {}

  /** A start order that a runner is about to execute. */
  record Start(
      TaskKey task, int run, String runner, String payload, String checkpoint, boolean late) {}

  final Map<String, Submitted> workflows = new HashMap<>();
  final List<String> violations = new ArrayList<>();

  /** Called with each start before it is checked. */
  Consumer<Start> startListener = s -> {};

  final Map<String, ResourceVector> ceilings = new HashMap<>();
  private final Set<TaskKey> done = new HashSet<>();

  /** Runs that ended as done, by the key under which failures are recorded. */
  private final Map<TaskKey, Set<Integer>> doneRuns = new HashMap<>();

  /** Starts after the end of a run as done, which are violations once that end is acknowledged. */
  private final Map<DoneRun, List<String>> startsAfterDone = new HashMap<>();

  private final Set<TaskKey> acknowledgedDone = new HashSet<>();
  private final Map<TaskKey, Set<Integer>> failures = new HashMap<>();
  private final Map<TaskKey, Set<Integer>> acknowledgedFailures = new HashMap<>();
  private final Map<TaskKey, Set<String>> checkpoints = new HashMap<>();

  /** Runners and failure domains that are out of service, with the time since when. */
  private final Map<String, Long> outOfServiceSince = new HashMap<>();

  /**
   * End of the latest fault that may delay the propagation of changes to instances, in virtual
   * milliseconds.
   */
  long lastFaultEndMillis;

  StepSpec stepSpec(TaskKey t) {
    return workflows.get(t.workflow()).steps.get(t.step());
  }

  /**
   * Returns the key under which failures and checkpoints are recorded; all tasks of a gang share
   * one.
   */
  private TaskKey accountingKey(TaskKey t) {
    return stepSpec(t).gang() ? new TaskKey(t.workflow(), t.occurrence(), t.step(), 0) : t;
  }

  void setOutOfService(String name, long now) {
    outOfServiceSince.putIfAbsent(name, now);
  }

  void setInService(String name) {
    outOfServiceSince.remove(name);
  }

  void recordCheckpoint(TaskKey t, String value) {
    checkpoints.computeIfAbsent(accountingKey(t), k -> new HashSet<>()).add(value);
  }

  void recordDone(TaskKey t, int run) {
    done.add(t);
    doneRuns.computeIfAbsent(accountingKey(t), k -> new HashSet<>()).add(run);
    if (stepSpec(t).gang()) {
      for (int i = 0; i < stepSpec(t).tasks(); i++) {
        done.add(new TaskKey(t.workflow(), t.occurrence(), t.step(), i));
      }
    }
  }

  void recordFailed(TaskKey t, int run) {
    failures.computeIfAbsent(accountingKey(t), k -> new HashSet<>()).add(run);
  }

  /** Records that the end of a run as done was acknowledged before its runner's lease expired. */
  void recordAcknowledgedDone(TaskKey t, int run) {
    acknowledgedDone.add(t);
    List<String> starts = startsAfterDone.remove(new DoneRun(accountingKey(t), run));
    if (starts != null) {
      starts.forEach(x -> violations.add(x + "its run " + run + " was done"));
    }
  }

  void recordAcknowledgedFailed(TaskKey t, int run) {
    acknowledgedFailures.computeIfAbsent(accountingKey(t), k -> new HashSet<>()).add(run);
  }

  int failures(TaskKey t) {
    return failures.getOrDefault(accountingKey(t), Set.of()).size();
  }

  /** Returns whether a task or a gang has failed often enough for the workflow to fail. */
  boolean mayFail(String workflow) {
    return failures.entrySet().stream()
        .anyMatch(
            e ->
                e.getKey().workflow().equals(workflow)
                    && e.getValue().size() >= PlatformCluster.MAX_FAILURES);
  }

  /** Returns whether all tasks of a workflow have ended successfully. */
  boolean isDone(String workflow) {
    Submitted w = workflows.get(workflow);
    for (int k = 0; k < w.recurrence.occurrences(); k++) {
      for (int s = 0; s < w.steps.size(); s++) {
        if (!isStepDone(workflow, k, s)) {
          return false;
        }
      }
    }
    return true;
  }

  /** Returns the queue, account and steps of a workflow for failure messages. */
  String describe(String workflow) {
    Submitted w = workflows.get(workflow);
    return w.queue + " " + w.account + " " + w.steps;
  }

  private boolean isStepDone(String workflow, int occurrence, int step) {
    for (int i = 0; i < workflows.get(workflow).steps.get(step).tasks(); i++) {
      if (!done.contains(new TaskKey(workflow, occurrence, step, i))) {
        return false;
      }
    }
    return true;
  }

  /** Checks a start against the running tasks, which are given for each runner that is up. */
  void checkStart(Start s, long now, Map<String, Set<TaskKey>> running, ResourceVector capacity) {
    startListener.accept(s);
    String start = now + " " + s.task() + " run " + s.run() + " on " + s.runner() + ": ";
    Submitted w = workflows.get(s.task().workflow());
    if (w == null) {
      violations.add(start + "the workflow was not submitted");
      return;
    }
    if (w.refused) {
      violations.add(start + "the submission was refused");
    }
    final StepSpec spec = stepSpec(s.task());
    if (running.values().stream().anyMatch(r -> r.contains(s.task()))) {
      violations.add(start + "also runs on another runner");
    }
    if (acknowledgedDone.contains(s.task())) {
      violations.add(start + "its end as done was acknowledged");
    }
    for (int run : doneRuns.getOrDefault(accountingKey(s.task()), Set.of())) {
      startsAfterDone
          .computeIfAbsent(new DoneRun(accountingKey(s.task()), run), k -> new ArrayList<>())
          .add(start);
    }
    if (now < w.recurrence.dueMillis(s.task().occurrence())) {
      violations.add(start + "its occurrence is not due yet");
    }
    if (!spec.longRunning()
        && acknowledgedFailures.getOrDefault(accountingKey(s.task()), Set.of()).size()
            >= PlatformCluster.MAX_FAILURES) {
      violations.add(start + "it has reached the failure limit");
    }
    for (int predecessor : spec.dependencies()) {
      if (!isStepDone(s.task().workflow(), s.task().occurrence(), predecessor)) {
        violations.add(start + "step " + predecessor + " is not done");
      }
    }
    ResourceVector usedOnRunner = spec.size();
    int sameStepTasks = 1;
    for (TaskKey t : running.get(s.runner())) {
      usedOnRunner = usedOnRunner.plus(stepSpec(t).size());
      sameStepTasks += isSameStep(t, s.task()) ? 1 : 0;
    }
    if (!usedOnRunner.fitsIn(capacity)) {
      violations.add(start + "exceeds the runner's capacity");
    }
    if (spec.maxPerRunner() > 0 && sameStepTasks > spec.maxPerRunner()) {
      violations.add(start + "too many tasks of the step on the runner");
    }
    if (!s.checkpoint().isEmpty()
        && !checkpoints.getOrDefault(accountingKey(s.task()), Set.of()).contains(s.checkpoint())) {
      violations.add(start + "the checkpoint belongs to another task");
    }
    checkCeiling(start, w, spec, running);
    boolean timeBoundsApply = !s.late() && now - lastFaultEndMillis > FAULT_RECOVERY_MILLIS;
    if (timeBoundsApply && w.cancelledMillis > 0 && now - w.cancelledMillis > PROPAGATION_MILLIS) {
      violations.add(start + "the workflow was cancelled");
    }
    for (String name : List.of(s.runner(), PlatformCluster.domain(s.runner()))) {
      if (timeBoundsApply
          && outOfServiceSince.containsKey(name)
          && now - outOfServiceSince.get(name) > PROPAGATION_MILLIS) {
        violations.add(start + name + " is out of service since " + outOfServiceSince.get(name));
      }
    }
  }

  /** Returns whether two tasks are of the same step of the same occurrence. */
  static boolean isSameStep(TaskKey a, TaskKey b) {
    return a.workflow().equals(b.workflow())
        && a.occurrence() == b.occurrence()
        && a.step() == b.step();
  }

  private void checkCeiling(
      String start, Submitted w, StepSpec spec, Map<String, Set<TaskKey>> running) {
    ResourceVector ceiling = ceilings.get(w.account);
    long used = spec.size().milliCores();
    for (Set<TaskKey> r : running.values()) {
      for (TaskKey t : r) {
        boolean sameAccount = workflows.get(t.workflow()).account.equals(w.account);
        used += sameAccount ? stepSpec(t).size().milliCores() : 0;
      }
    }
    if (ceiling.milliCores() > 0 && used > ceiling.milliCores() + spec.size().milliCores()) {
      violations.add(start + "account " + w.account + " is above its ceiling");
    }
  }
}
