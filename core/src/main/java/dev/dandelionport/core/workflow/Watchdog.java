package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Looks at regular times for what no message tells: stuck runs, gangs that are not whole. */
final class Watchdog {

  /** How many times a long run of its queue a run may take before it counts as stuck. */
  private static final double QUEUE_FACTOR = 1.3;

  /** How many times the longest run of the same step a run may take. */
  private static final double STEP_FACTOR = 2.2;

  /** How many intervals of checkpoints a run may go without a new one. */
  private static final double CHECKPOINT_FACTOR = 2;

  /**
   * How many times its estimate a run may take while nothing else is known; estimates are rough.
   */
  private static final double ESTIMATE_FACTOR = 10;

  /** Time that a run may take in any case while nothing else is known, in milliseconds. */
  private static final double MIN_LIMIT_MILLIS = 10_000;

  /** Most doublings of the time that a task may take after it was stopped as stuck. */
  private static final int MAX_DOUBLINGS = 10;

  /** Time beyond each of these bounds before a run counts as stuck, in milliseconds. */
  private static final long GRACE_MILLIS = 600;

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

  /** Notes a workflow whose occurrences come due by time. */
  void addRecurring(Workflow w) {
    recurring.add(w);
  }

  void tick() {
    recurring.removeIf(
        w -> w.state.isFinal() || w.openedOccurrences >= w.spec.recurrence().occurrences());
    recurring.forEach(runs::openDueOccurrences);
    advice.clearPrefetched();
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
    if (x.phase != Phase.CONFIRMED || s.spec.longRunning() || x.startSentMillis == 0) {
      return;
    }
    String reason = s.spec.bestEffort() ? "" : stuckReason(x, s);
    if (!reason.isEmpty()) {
      if (!s.spec.gang() && x.previousStuckCount == 0) {
        // Any member may be what a gang waits for, and a task that was stuck elsewhere, too, may
        // just be long.
        x.runner.health.quarantine(cell.now);
        logQuarantine(x.runner, true, reason);
      }
      List<Task> tasks = s.spec.gang() ? s.tasks : List.of(x.task);
      tasks.forEach(t -> t.stuckCount = Math.max(t.stuckCount, x.previousStuckCount + 1));
      x.task.failedOn = x.runner.id();
      runs.stop(x, Stop.STUCK, reason);
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

  /** Returns a bound for a run: twice as much after each time that its task was stuck. */
  private static double limitMillis(Run x, double millis) {
    return (millis + GRACE_MILLIS) * (1 << Math.min(MAX_DOUBLINGS, x.previousStuckCount));
  }
}
