package dev.dandelionport.core.workflow;

import dev.dandelionport.core.health.RestartDecision;
import dev.dandelionport.core.health.StopOutcomes;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.List;

/**
 * Updates the ratings of runners and the run times of queues with the ends of runs. What a stopped
 * task takes when it runs again shows whether it is long or its first runner was at fault.
 */
final class HealthRecorder {

  /**
   * Part of the time after which its first run was stopped that a task takes at least if it is
   * long. Less than 1, because the first run may have been on a slower runner.
   */
  private static final double LONG_FRACTION = 0.7;

  /** Probability of a fault from which a runner is quarantined at the first stuck run. */
  private static final double LIKELY = 0.5;

  private final CellState cell;

  /** Runs that took conspicuously long, at the time at which the first of a task was stopped. */
  record Suspects(List<Run> runs, long ranMillis) {}

  HealthRecorder(CellState cell) {
    this.cell = cell;
  }

  /** Records that a run is stopped as stuck. */
  void recordStuck(Run x, String reason) {
    Task t = evidenceTask(x.task);
    if (x.previousStuckCount > 0) {
      long ranMillis = cell.now - x.startSentMillis;
      if (t.suspects != null && ranMillis >= LONG_FRACTION * t.suspects.ranMillis()) {
        // It took as long on another runner before.
        resolveSuspects(t, ranMillis);
      }
      return;
    }
    t.suspects = new Suspects(members(x), cell.now - x.startSentMillis);
    if (x.task.step.spec.gang()) {
      // It may wait for any of its members.
      return;
    }
    RunnerHealth h = x.incarnation.health;
    boolean wasQuarantined = h.isQuarantined();
    // Without its completed runs, which a runner that hangs since then may have had before.
    double faultOfAnyRunner = cell.runTimes.stopOutcomes(x.task.step).faultProbability(1);
    boolean likely = Math.max(faultOfAnyRunner, faultProbability(x)) >= LIKELY;
    h.recordSuspicion(cell.now, likely, x.probe);
    logIfChanged(x.incarnation, wasQuarantined, reason);
  }

  private static List<Run> members(Run x) {
    List<Run> list = new ArrayList<>();
    for (Task t : x.task.step.spec.gang() ? x.task.step.tasks : List.of(x.task)) {
      if (t.run != null) {
        list.add(t.run);
      }
    }
    return list;
  }

  /** Returns the task that keeps the evidence on a task; the members of a gang share it. */
  private static Task evidenceTask(Task t) {
    return t.step.spec.gang() ? t.step.tasks.get(0) : t;
  }

  /** Returns the probability that the runner of a conspicuous run is at fault. */
  double faultProbability(Run x) {
    double average = cell.runTimes.faultRate();
    RunnerHealth h = x.incarnation.health;
    StopOutcomes outcomes = cell.runTimes.stopOutcomes(x.task.step);
    return x.previousStuckCount > 0
        ? outcomes.repeatedFaultProbability(h.faultRate(average))
        : outcomes.faultProbability(h.faultFactor(average));
  }

  /** Records the end of a run before the state of its task is updated. */
  void recordEnd(Run r, RunEnd outcome) {
    RunnerHealth h = r.incarnation.health;
    Task t = r.task;
    boolean wasQuarantined = h.isQuarantined();
    if (outcome == RunEnd.DONE && r.startSentMillis > 0) {
      h.recordSuccess(r.probe);
      recordRunTime(r, cell.now - r.startSentMillis);
    } else if (outcome == RunEnd.FAILED && t.failures == 0) {
      h.recordFailure(cell.now, r.probe);
    } else if (r.probe) {
      h.recordInconclusiveProbe();
    }
    logIfChanged(r.incarnation, wasQuarantined, outcome.name());
  }

  private void recordRunTime(Run r, long runMillis) {
    Task t = r.task;
    boolean fullRun = t.checkpoint.isEmpty() && !r.inherited;
    cell.runTimes.countRun();
    if (t.done) {
      // Another member of its gang has reported the end of the gang already.
      return;
    }
    RestartDecision limits = cell.runTimes.limits(t.step, r.previousStuckCount);
    if (evidenceTask(t).suspects != null) {
      resolveSuspects(t, runMillis);
    } else if (fullRun && limits != null && limits.isSuspect(runMillis)) {
      cell.runTimes.stopOutcomes(t.step).recordLongTask();
    }
    if (fullRun) {
      double ratio = cell.runTimes.recordRun(t.step, runMillis);
      if (!t.step.spec.gang()) {
        t.step.longestRunMillis = Math.max(t.step.longestRunMillis, runMillis);
        r.incarnation.health.recordSpeed(ratio);
      }
    }
  }

  private void resolveSuspects(Task t, long runMillis) {
    Task holder = evidenceTask(t);
    Suspects s = holder.suspects;
    holder.suspects = null;
    boolean isLong = runMillis >= LONG_FRACTION * s.ranMillis();
    if (!isLong && !t.checkpoint.isEmpty()) {
      // The task may be long, but has continued from a checkpoint.
      return;
    }
    if (isLong) {
      cell.runTimes.stopOutcomes(t.step).recordLongTask();
    } else {
      cell.runTimes.stopOutcomes(t.step).recordFault();
      cell.runTimes.countFault();
    }
    cell.log(
        Topic.STUCK_RESOLVED,
        "task",
        t.key.toString(),
        "longTask",
        isLong,
        "stoppedAfterMillis",
        s.ranMillis(),
        "thenMillis",
        runMillis);
    blame(s, isLong);
  }

  /** Shares the blame for a run that hung among its runners, by how often runs hang there. */
  private void blame(Suspects s, boolean isLong) {
    double average = cell.runTimes.faultRate();
    double sum = s.runs().stream().mapToDouble(x -> x.incarnation.health.faultRate(average)).sum();
    for (Run x : s.runs()) {
      RunnerHealth h = x.incarnation.health;
      boolean wasQuarantined = h.isQuarantined();
      if (isLong) {
        h.clearSuspicion();
      } else {
        h.recordFault(cell.now, h.faultRate(average) / sum);
      }
      logIfChanged(x.incarnation, wasQuarantined, isLong ? "task is long" : "task hung here only");
    }
  }

  private void logIfChanged(Incarnation x, boolean wasQuarantined, String cause) {
    boolean quarantined = x.health.isQuarantined();
    if (quarantined != wasQuarantined) {
      cell.log(
          Topic.RUNNER_HELD,
          "runner",
          x.id.runner(),
          "born",
          x.startMillis(),
          "held",
          quarantined,
          "cause",
          cause);
    }
  }

  /** Ends the quarantine of a runner that got no probe. */
  void releaseIfUnprobed(Runner r) {
    if (r.health().releaseIfUnprobed(cell.now)) {
      logIfChanged(r.current(), true, "not probed");
    }
  }
}
