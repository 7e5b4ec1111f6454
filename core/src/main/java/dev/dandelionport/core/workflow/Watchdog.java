package dev.dandelionport.core.workflow;

import dev.dandelionport.core.health.RestartDecision;
import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Periodically checks for conditions that no message reports: stuck runs and incomplete gangs. */
final class Watchdog {

  /** Number of checkpoint intervals that may pass without a new checkpoint. */
  private static final double CHECKPOINT_FACTOR = 2;

  /**
   * Multiple of its estimate that a run may take if there is no other reference; estimates are
   * rough.
   */
  private static final double ESTIMATE_FACTOR = 10;

  /** Minimum time that a run may take if there is no other reference, in milliseconds. */
  private static final double MIN_LIMIT_MILLIS = 10_000;

  /** Multiple of this time that a run may take where most conspicuous runs are long tasks. */
  private static final double ROUGH_FACTOR = 4;

  /** Time at work after which a run that lasts is no longer a probe, in milliseconds. */
  private static final long LASTING_PROBE_MILLIS = 2_000;

  private final CellState cell;
  private final RunLifecycle runs;
  private final HealthRecorder health;
  private final GangPlacement gangs;
  private final AdviceTracker advice;
  private final Set<Workflow> recurring = new LinkedHashSet<>();

  Watchdog(
      CellState cell,
      RunLifecycle runs,
      HealthRecorder health,
      GangPlacement gangs,
      AdviceTracker advice) {
    this.cell = cell;
    this.runs = runs;
    this.health = health;
    this.gangs = gangs;
    this.advice = advice;
  }

  /** Registers a workflow whose occurrences become due over time. */
  void addRecurring(Workflow w) {
    recurring.add(w);
  }

  void tick() {
    recurring.removeIf(
        w -> w.state.isFinal() || w.openedOccurrences >= w.spec.recurrence().occurrences());
    recurring.forEach(runs::openDueOccurrences);
    advice.clearPrefetchSteps();
    for (Step s : new ArrayList<>(cell.ready)) {
      if (s.spec.gang()) {
        gangs.stopIfIncomplete(s);
      }
      prefetchAdvice(s);
    }
    for (Runner r : cell.runners.values()) {
      health.releaseIfUnprobed(r);
      for (Run x : List.copyOf(r.runs)) {
        checkRun(x);
      }
    }
  }

  private void prefetchAdvice(Step running) {
    Workflow w = running.workflow;
    if (w.steps.size() < 2) {
      return;
    }
    for (Step s : w.steps) {
      if (s.readyMillis < 0 && s.key.occurrence() == running.key.occurrence()) {
        advice.prefetch(s);
      }
    }
  }

  private void checkRun(Run x) {
    if (x.stopReason != null) {
      runs.resendStop(x);
      return;
    }
    Step s = x.task.step;
    if (x.phase != Phase.CONFIRMED) {
      return;
    }
    if (s.spec.longRunning()) {
      endLastingProbe(x);
      return;
    }
    if (x.startSentMillis == 0) {
      return;
    }
    String reason = s.spec.bestEffort() ? "" : stuckReason(x, s);
    if (!reason.isEmpty()) {
      final int faultPercent = (int) (100 * health.faultProbability(x));
      health.recordStuck(x, reason);
      List<Task> tasks = s.spec.gang() ? s.tasks : List.of(x.task);
      tasks.forEach(t -> t.stuckCount = Math.max(t.stuckCount, x.previousStuckCount + 1));
      x.task.failedOn = x.runner.id();
      runs.stop(x, Stop.STUCK, reason, "faultPercent", faultPercent);
    }
  }

  /**
   * Ends a probe by a run that is at work and will not end, so that others can probe its runner.
   */
  private void endLastingProbe(Run x) {
    if (x.probe && cell.now - x.confirmedMillis >= LASTING_PROBE_MILLIS) {
      x.probe = false;
      x.incarnation.health.recordInconclusiveProbe();
    }
  }

  private String stuckReason(Run x, Step s) {
    long runMillis = cell.now - x.startSentMillis;
    final boolean savesCheckpoints = s.spec.checkpoints() && !s.spec.gang();
    long idleMillis = cell.now - Math.max(x.confirmedMillis, x.checkpointMillis);
    if (savesCheckpoints
        && idleMillis
            > limitMillis(x, CHECKPOINT_FACTOR * cell.limits.checkpointIntervalMillis())) {
      return "saves no checkpoint";
    }
    RestartDecision limits = cell.runTimes.limits(s, x.previousStuckCount);
    if (limits != null) {
      // A run that saves checkpoints does not hang; at most, its runner is slow.
      boolean progresses = savesCheckpoints && x.checkpointMillis > x.startSentMillis;
      double fault = progresses ? 0 : health.faultProbability(x);
      return limits.shouldStop(runMillis, fault)
          ? "takes longer than runs of its queue or step"
          : "";
    }
    double estimated =
        limitMillis(x, Math.max(MIN_LIMIT_MILLIS, ESTIMATE_FACTOR * s.spec.estimateMillis()));
    RestartDecision rough = new RestartDecision(estimated, ROUGH_FACTOR * estimated);
    if (!savesCheckpoints && rough.shouldStop(runMillis, health.faultProbability(x))) {
      return "takes much longer than estimated";
    }
    return "";
  }

  /**
   * Returns the time limit of a run, doubled for each time that its task was stopped as stuck
   * before.
   */
  private static double limitMillis(Run x, double millis) {
    return RunTimeStatistics.extendedLimit(millis, x.previousStuckCount);
  }
}
