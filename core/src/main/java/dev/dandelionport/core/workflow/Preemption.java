package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.Run.Phase;
import dev.dandelionport.core.workflow.Run.Stop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Stops runs of lower priority to free capacity for work of priority 0, those that lose the least
 * work first.
 */
final class Preemption {

  /** Slack that must remain after the stop and the run for a preemption to be useful. */
  private static final long MIN_SLACK_MILLIS = 50;

  /** Maximum work that may be lost for one task, as a multiple of the task's own work. */
  private static final double MAX_WASTE_FACTOR = 1.5;

  private final CellState cell;
  private final RunLifecycle runs;

  Preemption(CellState cell, RunLifecycle runs) {
    this.cell = cell;
    this.runs = runs;
  }

  /** Runs to stop on a runner, and the work lost by it in thousandths of a core x milliseconds. */
  private record Plan(List<Run> victims, double waste) {}

  /**
   * Stops runs on the candidate runners of a step, which hold a ticket if its queue needs advice,
   * to free capacity for its waiting tasks. An account that is over its fair share gets no capacity
   * in this way.
   */
  void preemptFor(Step s, Queue q, List<Runner> candidates) {
    long expected = cell.runTimes.expectedMillis(s);
    long startMillis = cell.now + cell.limits.maxStopMillis() + MIN_SLACK_MILLIS;
    if (cell.shares.isBehind(s) || cell.shares.isOver(s) || startMillis + expected > s.dueMillis) {
      return;
    }
    int missing = s.startable(cell.now).size();
    for (Runner r : candidates) {
      missing -= countFittingAfterStops(r, s);
    }
    double maxWaste = MAX_WASTE_FACTOR * s.spec.size().milliCores() * Math.max(1, expected);
    for (; missing > 0; missing--) {
      Plan best = null;
      for (Runner r : candidates) {
        Plan c = plan(r, s, q);
        if (c != null && (best == null || c.waste() < best.waste())) {
          best = c;
        }
      }
      if (best == null || best.waste() > maxWaste) {
        return;
      }
      best.victims().forEach(x -> runs.stop(x, Stop.PREEMPTED, "room for " + s.key));
    }
  }

  /**
   * Returns how many tasks of the step will fit once the runs that are being stopped have ended.
   */
  private static int countFittingAfterStops(Runner r, Step s) {
    ResourceVector free = r.free();
    boolean stopping = false;
    for (Run x : r.runs) {
      if (x.stopReason != null) {
        free = free.plus(x.reserved);
        stopping = true;
      }
    }
    int n = 0;
    while (stopping && s.spec.reserved().fitsIn(free) && n < s.spec.tasks()) {
      free = free.minus(s.spec.reserved());
      n++;
    }
    return n;
  }

  private Plan plan(Runner r, Step s, Queue q) {
    if (r.health().isQuarantined()) {
      return null;
    }
    for (Run x : r.runs) {
      if (x.stopReason != null) {
        // Capacity that is being freed is already intended for other tasks.
        return null;
      }
    }
    List<Run> preemptible = new ArrayList<>();
    for (Run x : r.runs) {
      Queue queue = cell.queueOf(x.task.step);
      boolean lower = queue != null && queue.priority() > q.priority();
      if (lower
          && x.phase == Phase.CONFIRMED
          && !x.task.step.spec.gang()
          && !x.task.step.spec.longRunning()) {
        preemptible.add(x);
      }
    }
    preemptible.sort(Comparator.comparingDouble(this::waste));
    List<Run> victims = new ArrayList<>();
    double waste = 0;
    ResourceVector free = r.free();
    for (Run x : preemptible) {
      if (s.spec.reserved().fitsIn(free)) {
        break;
      }
      victims.add(x);
      waste += waste(x);
      free = free.plus(x.reserved);
    }
    return victims.isEmpty() || !s.spec.reserved().fitsIn(free) ? null : new Plan(victims, waste);
  }

  /** Returns the work that stopping a run loses, in thousandths of a core x milliseconds. */
  private double waste(Run x) {
    long since = x.task.step.spec.checkpoints() ? cell.now : x.startSentMillis;
    return x.task.step.spec.size().milliCores() * (double) Math.max(0, cell.now - since);
  }
}
