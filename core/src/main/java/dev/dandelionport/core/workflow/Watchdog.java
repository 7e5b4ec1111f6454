package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Periodically checks for conditions that no message reports: stuck runs and incomplete gangs. */
final class Watchdog {

  /** Multiple of the long run time of its queue that a run may take before it counts as stuck. */
  private static final double QUEUE_FACTOR = 1.3;

  /** Multiple of the longest run of the same step that a run may take. */
  private static final double STEP_FACTOR = 2.2;

  /** Number of checkpoint intervals that may pass without a new checkpoint. */
  private static final double CHECKPOINT_FACTOR = 2;

  /**
   * Multiple of its estimate that a run may take if there is no other reference; estimates are
   * rough.
   */
  private static final double ESTIMATE_FACTOR = 10;

  /** Minimum time that a run may take if there is no other reference, in milliseconds. */
  private static final double MIN_LIMIT_MILLIS = 10_000;

  /** Maximum number of times that the limits double for a task that was stopped as stuck. */
  private static final int MAX_DOUBLINGS = 10;

  /** Time added to each of these limits, in milliseconds. */
  private static final long GRACE_MILLIS = 600;

  /** Time at work after which a run that lasts is no longer a probe, in milliseconds. */
  private static final long LASTING_PROBE_MILLIS = 2_000;

  private final CellState cell;
  private final RunLifecycle runs;
  private final GangPlacement gangs;
  private final AdviceTracker advice;
  private final Set<Workflow> recurring = new LinkedHashSet<>();

  Watchdog(CellState cell, RunLifecycle runs, GangPlacement gangs, AdviceTracker advice) {
    this.cell = cell;
    this.runs = runs;
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
      if (r.health.releaseIfUnprobed(cell.now)) {
        logQuarantine(r, false, "not probed");
      }
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
      if (!s.spec.gang() && x.previousStuckCount == 0) {
        // Otherwise the runner may not be at fault: a gang may wait for any of its members, and a
        // task that was stuck on another runner before may simply be long.
        x.runner.health.quarantine(cell.now);
        logQuarantine(x.runner, true, reason);
      }
      List<Task> tasks = s.spec.gang() ? s.tasks : List.of(x.task);
      tasks.forEach(t -> t.stuckCount = Math.max(t.stuckCount, x.previousStuckCount + 1));
      x.task.failedOn = x.runner.id();
      runs.stop(x, Stop.STUCK, reason);
    }
  }

  /**
   * Ends a probe by a run that is at work and will not end, so that others can probe its runner.
   */
  private void endLastingProbe(Run x) {
    if (x.probe && cell.now - x.confirmedMillis >= LASTING_PROBE_MILLIS) {
      x.probe = false;
      x.runner.health.recordInconclusiveProbe();
    }
  }

  private void logQuarantine(Runner r, boolean quarantined, String cause) {
    cell.log(Topic.RUNNER_HELD, "runner", r.id(), "held", quarantined, "cause", cause);
  }

  private String stuckReason(Run x, Step s) {
    long runMillis = cell.now - x.startSentMillis;
    long usualMillis = cell.runTimes.longRunMillis(s);
    if (usualMillis > 0 && runMillis > limitMillis(x, QUEUE_FACTOR * usualMillis)) {
      return "takes longer than runs of its queue";
    }
    if (s.longestRunMillis > 0 && runMillis > limitMillis(x, STEP_FACTOR * s.longestRunMillis)) {
      return "takes longer than the other tasks of its step";
    }
    long idleMillis = cell.now - Math.max(x.confirmedMillis, x.checkpointMillis);
    boolean savesCheckpoints = s.spec.checkpoints() && !s.spec.gang();
    if (savesCheckpoints
        && idleMillis
            > limitMillis(x, CHECKPOINT_FACTOR * cell.limits.checkpointIntervalMillis())) {
      return "saves no checkpoint";
    }
    boolean hasReference = usualMillis > 0 || s.longestRunMillis > 0 || savesCheckpoints;
    if (!hasReference
        && runMillis
            > limitMillis(
                x, Math.max(MIN_LIMIT_MILLIS, ESTIMATE_FACTOR * s.spec.estimateMillis()))) {
      return "takes much longer than estimated";
    }
    return "";
  }

  /**
   * Returns the time limit of a run, doubled for each time that its task was stopped as stuck
   * before.
   */
  private static double limitMillis(Run x, double millis) {
    return (millis + GRACE_MILLIS) * (1 << Math.min(MAX_DOUBLINGS, x.previousStuckCount));
  }
}
