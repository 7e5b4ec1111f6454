package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.Run.Phase;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Starts gangs: all tasks of a gang under one run number, or none of them. */
final class GangPlacement {

  /** Fraction of the gang timeout after which a missing member is no longer replaced. */
  private static final double REPLACE_FRACTION = 0.5;

  /**
   * Time that a gang that prefers a single rack waits for one with enough capacity while delay
   * scheduling is off, in milliseconds.
   */
  private static final long SAME_RACK_WAIT_MILLIS = 1_500;

  private final CellState cell;
  private final RunLifecycle runs;
  private final Placement placement;
  private final LocalityWait locality;

  GangPlacement(CellState cell, RunLifecycle runs, Placement placement, LocalityWait locality) {
    this.locality = locality;
    this.cell = cell;
    this.runs = runs;
    this.placement = placement;
  }

  void place(Step s, Queue q, List<Task> tasks, List<Runner> candidates) {
    if (s.gangRun != 0) {
      replaceMissing(s, q, tasks, candidates);
      return;
    }
    if (tasks.size() < s.spec.tasks() || s.hasRuns()) {
      return;
    }
    if (cell.tasksBelowCeiling(s) < tasks.size()) {
      return;
    }
    List<Runner> chosen = chooseRunners(s, q, candidates);
    if (chosen.isEmpty()) {
      return;
    }
    int runNumber = 0;
    for (Task t : tasks) {
      runNumber = Math.max(runNumber, t.lastRun);
    }
    runNumber++;
    s.gangRun = runNumber;
    s.gangBroken = false;
    s.gangStartedMillis = cell.now;
    for (int i = 0; i < chosen.size(); i++) {
      runs.intendStart(tasks.get(i), chosen.get(i), runNumber);
    }
    placement.logPlaced(s, chosen, candidates.size());
  }

  /**
   * Starts missing members, which certainly did not start elsewhere, under the gang's run number.
   * Abandons the gang's run if a member cannot be replaced.
   */
  private void replaceMissing(Step s, Queue q, List<Task> tasks, List<Runner> candidates) {
    if (s.gangBroken) {
      return;
    }
    long waitedMillis = cell.now - s.gangStartedMillis;
    boolean tooLate = waitedMillis > REPLACE_FRACTION * cell.limits.gangTimeoutMillis();
    for (Task t : tasks) {
      Runner r = null;
      if (!tooLate && cell.tasksBelowCeiling(s) > 0) {
        r =
            candidates.stream()
                .filter(c -> !c.id().equals(t.failedOn) && placement.countFitting(c, s, q) > 0)
                .min(Comparator.comparingDouble(c -> placement.cost(s, c)))
                .orElse(null);
      }
      if (r == null) {
        runs.abandonGang(s);
        return;
      }
      runs.intendStart(t, r, s.gangRun);
    }
  }

  /** Abandons the run of a gang whose members are not all confirmed in time. */
  void stopIfIncomplete(Step s) {
    if (s.gangRun == 0 || s.gangBroken) {
      return;
    }
    boolean complete =
        s.tasks.stream().allMatch(t -> t.run != null && t.run.phase == Phase.CONFIRMED);
    long waitedMillis = cell.now - s.gangStartedMillis;
    if (!complete && waitedMillis > REPLACE_FRACTION * cell.limits.gangTimeoutMillis()) {
      runs.abandonGang(s);
    }
  }

  /** Returns a runner for each task, or an empty list if they do not all fit. */
  private List<Runner> chooseRunners(Step s, Queue q, List<Runner> candidates) {
    if (s.spec.sameRack()) {
      Map<String, List<Runner>> racks = new TreeMap<>();
      for (Runner r : candidates) {
        racks.computeIfAbsent(r.rack(), k -> new ArrayList<>()).add(r);
      }
      for (List<Runner> rack : racks.values()) {
        List<Runner> chosen = assignTasks(s, q, rack);
        if (!chosen.isEmpty()) {
          return chosen;
        }
      }
      if (!cell.limits.delayScheduling()) {
        boolean waits = cell.now - s.readyMillis < SAME_RACK_WAIT_MILLIS;
        return waits ? List.of() : assignTasks(s, q, candidates);
      }
      List<Runner> spread = assignTasks(s, q, candidates);
      boolean waits = !spread.isEmpty() && locality.mustGangWait(s, q, candidates, racks.values());
      return waits ? List.of() : spread;
    }
    return assignTasks(s, q, candidates);
  }

  private List<Runner> assignTasks(Step s, Queue q, List<Runner> candidates) {
    Map<Runner, Integer> fitting = new HashMap<>();
    List<Runner> byCost = new ArrayList<>();
    for (Runner r : candidates) {
      int n = placement.countFitting(r, s, q);
      if (n > 0) {
        fitting.put(r, n);
        byCost.add(r);
      }
    }
    byCost.sort(Comparator.comparingDouble(r -> placement.cost(s, r)));
    List<Runner> chosen = new ArrayList<>();
    for (Runner r : byCost) {
      for (int n = fitting.get(r); n > 0 && chosen.size() < s.spec.tasks(); n--) {
        chosen.add(r);
      }
    }
    return chosen.size() < s.spec.tasks() ? List.of() : chosen;
  }
}
