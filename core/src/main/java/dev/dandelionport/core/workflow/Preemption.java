package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Stops less urgent runs to make room for work of the first priority, the cheapest first. */
final class Preemption {

  /** Time that must be left, beyond the stop and the run, for a preemption to be of use. */
  private static final long SPARE_MILLIS = 50;

  /** Most work that may be thrown away for one task, in multiples of what the task itself is. */
  private static final double MOST_WASTE = 1.5;

  private final Cell cell;
  private final Runs runs;

  Preemption(Cell cell, Runs runs) {
    this.cell = cell;
    this.runs = runs;
  }

  /** Runs whose stop makes room on a runner, and the work in thousandths of a core x ms lost. */
  private record Choice(List<Run> victims, double waste) {}

  /** Makes room for the waiting tasks of a step on runners that hold a ticket for it. */
  void makeRoom(Step s, Queue q, List<Runner> candidates) {
    long expected = cell.times.expectedMillis(s);
    long ready = cell.now + cell.limits.stopMillis() + SPARE_MILLIS;
    if (s.workflow.spec.excess() || ready + expected > s.dueMillis) {
      return;
    }
    int wanted = s.startable(cell.now).size();
    for (Runner r : candidates) {
      wanted -= coming(r, s);
    }
    double most = MOST_WASTE * s.spec.size().milliCores() * Math.max(1, expected);
    for (; wanted > 0; wanted--) {
      Choice best = null;
      for (Runner r : candidates) {
        Choice c = choose(r, s, q);
        if (c != null && (best == null || c.waste() < best.waste())) {
          best = c;
        }
      }
      if (best == null || best.waste() > most) {
        return;
      }
      best.victims().forEach(x -> runs.stop(x, Stop.PREEMPTED, "room for " + s.key));
    }
  }

  /** Returns how many tasks of the step will have room once what is being stopped has left. */
  private static int coming(Runner r, Step s) {
    ResourceVector room = r.free();
    boolean stopping = false;
    for (Run x : r.runs) {
      if (x.stop != null) {
        room = room.plus(x.reserved);
        stopping = true;
      }
    }
    int n = 0;
    while (stopping && s.spec.reserved().fitsIn(room) && n < s.spec.tasks()) {
      room = room.minus(s.spec.reserved());
      n++;
    }
    return n;
  }

  private Choice choose(Runner r, Step s, Queue q) {
    if (r.health.isHeld()) {
      return null;
    }
    for (Run x : r.runs) {
      if (x.stop != null) {
        // Room that is being made is promised to others already.
        return null;
      }
    }
    List<Run> possible = new ArrayList<>();
    for (Run x : r.runs) {
      Queue of = cell.queueOf(x.task.step);
      boolean lower = of != null && of.priority() > q.priority();
      if (lower
          && x.phase == Phase.PRESENT
          && !x.task.step.spec.gang()
          && !x.task.step.spec.lasting()) {
        possible.add(x);
      }
    }
    possible.sort(Comparator.comparingDouble(this::waste));
    List<Run> victims = new ArrayList<>();
    double waste = 0;
    ResourceVector room = r.free();
    for (Run x : possible) {
      if (s.spec.reserved().fitsIn(room)) {
        break;
      }
      victims.add(x);
      waste += waste(x);
      room = room.plus(x.reserved);
    }
    return victims.isEmpty() || !s.spec.reserved().fitsIn(room) ? null : new Choice(victims, waste);
  }

  /** Returns the work that a stop of a run throws away, in thousandths of a core x milliseconds. */
  private double waste(Run x) {
    long since = x.task.step.spec.checkpoints() ? cell.now : x.sentMillis;
    return x.task.step.spec.size().milliCores() * (double) Math.max(0, cell.now - since);
  }
}
