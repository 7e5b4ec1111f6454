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
  private static final double UNKNOWN_MILLIS = 10_000;

  /** Most doublings of the time that a task may take after it was stopped as stuck. */
  private static final int MAX_DOUBLINGS = 10;

  /** Time beyond each of these bounds before a run counts as stuck, in milliseconds. */
  private static final long SPARE_MILLIS = 600;

  private final Cell cell;
  private final Runs runs;
  private final GangPlacement gangs;
  private final AdviceBook advice;
  private final Set<Workflow> recurring = new LinkedHashSet<>();

  Watchdog(Cell cell, Runs runs, GangPlacement gangs, AdviceBook advice) {
    this.cell = cell;
    this.runs = runs;
    this.gangs = gangs;
    this.advice = advice;
  }

  /** Notes a workflow whose occurrences come due by time. */
  void recurs(Workflow w) {
    recurring.add(w);
  }

  void tick() {
    recurring.removeIf(w -> w.state.isFinal() || w.opened >= w.spec.recurrence().occurrences());
    recurring.forEach(runs::openDue);
    advice.clearAhead();
    for (Step s : new ArrayList<>(cell.ready)) {
      if (s.spec.gang()) {
        gangs.checkWhole(s);
      }
      askAhead(s);
    }
    for (Runner r : cell.runners.values()) {
      if (r.health.releaseUnprobed(cell.now)) {
        noteHeld(r, false, "not probed");
      }
      for (Run x : List.copyOf(r.runs)) {
        check(x);
      }
    }
  }

  private void askAhead(Step running) {
    Workflow w = running.workflow;
    if (w.steps.size() < 2) {
      return;
    }
    for (Step s : w.steps) {
      if (s.readyMillis < 0 && s.key.occurrence() == running.key.occurrence()) {
        advice.askAhead(s);
      }
    }
  }

  private void check(Run x) {
    if (x.stop != null) {
      runs.stopAgain(x);
      return;
    }
    Step s = x.task.step;
    if (x.phase != Phase.PRESENT || s.spec.lasting() || x.sentMillis == 0) {
      return;
    }
    String why = s.spec.filler() ? "" : whyStuck(x, s);
    if (!why.isEmpty()) {
      if (!s.spec.gang() && x.stuckBefore == 0) {
        // Any member may be what a gang waits for, and a task that was stuck elsewhere, too, may
        // just be long.
        x.runner.health.hold(cell.now);
        noteHeld(x.runner, true, why);
      }
      List<Task> of = s.spec.gang() ? s.tasks : List.of(x.task);
      of.forEach(t -> t.stuck = Math.max(t.stuck, x.stuckBefore + 1));
      x.task.failedOn = x.runner.id();
      runs.stop(x, Stop.STUCK, why);
    }
  }

  private void noteHeld(Runner r, boolean held, String cause) {
    cell.note(Topic.RUNNER_HELD, "runner", r.id(), "held", held, "cause", cause);
  }

  private String whyStuck(Run x, Step s) {
    long ran = cell.now - x.sentMillis;
    long usual = cell.times.longMillis(s);
    if (usual > 0 && ran > most(x, QUEUE_FACTOR * usual)) {
      return "takes longer than runs of its queue";
    }
    if (s.longestMillis > 0 && ran > most(x, STEP_FACTOR * s.longestMillis)) {
      return "takes longer than the other tasks of its step";
    }
    long quiet = cell.now - Math.max(x.confirmedMillis, x.savedMillis);
    boolean saves = s.spec.checkpoints() && !s.spec.gang();
    if (saves && quiet > most(x, CHECKPOINT_FACTOR * cell.limits.checkpointMillis())) {
      return "saves no checkpoint";
    }
    boolean known = usual > 0 || s.longestMillis > 0 || saves;
    if (!known
        && ran > most(x, Math.max(UNKNOWN_MILLIS, ESTIMATE_FACTOR * s.spec.estimateMillis()))) {
      return "takes much longer than estimated";
    }
    return "";
  }

  /** Returns a bound for a run: twice as much after each time that its task was stuck. */
  private static double most(Run x, double millis) {
    return (millis + SPARE_MILLIS) * (1 << Math.min(MAX_DOUBLINGS, x.stuckBefore));
  }
}
