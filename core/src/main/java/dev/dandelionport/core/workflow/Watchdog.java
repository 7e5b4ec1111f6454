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

  /** How many times the longest run of its queue a run may take before it counts as stuck. */
  private static final double STUCK_FACTOR = 1.5;

  /** Time beyond that before a run counts as stuck, in milliseconds. */
  private static final long STUCK_MILLIS = 1_000;

  /** Time without any use of the processor after which a run counts as stuck, in milliseconds. */
  private static final long IDLE_MILLIS = 1_200;

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
    for (Step s : new ArrayList<>(cell.ready)) {
      if (s.spec.gang()) {
        gangs.checkWhole(s);
      }
      askAhead(s);
    }
    for (Runner r : cell.runners.values()) {
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
    long since = Math.max(x.sentMillis, x.savedMillis);
    long ran = cell.now - since;
    boolean idle = x.idleSinceMillis > 0 && cell.now - x.idleSinceMillis > IDLE_MILLIS;
    boolean slow = ran > STUCK_FACTOR * cell.times.longestMillis(s) + STUCK_MILLIS;
    if (slow || idle && !s.spec.filler() && ran > IDLE_MILLIS) {
      cell.note(
          Topic.STOPPED,
          "task",
          x.task.key.toString(),
          "run",
          x.number,
          "runner",
          x.runner.id(),
          "why",
          idle ? "uses no processor time" : "takes too long",
          "ranMillis",
          ran);
      x.runner.health.hold(cell.now);
      x.task.failedOn = x.runner.id();
      runs.stop(x, Stop.STUCK);
    }
  }
}
