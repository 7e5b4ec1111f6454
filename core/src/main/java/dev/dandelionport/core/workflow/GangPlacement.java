package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.Run.Phase;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Starts gangs: all tasks under one run number, or none. */
final class GangPlacement {

  /** Part of the gang's waiting time after which a missing member is no longer replaced. */
  private static final double REPLACE_PART = 0.5;

  /** Time that a gang bound to one rack waits for room there, in milliseconds. */
  private static final long ONE_RACK_MILLIS = 1_500;

  private final Cell cell;
  private final Runs runs;
  private final Placement placement;

  GangPlacement(Cell cell, Runs runs, Placement placement) {
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
    if (cell.allowedByCeiling(s) < tasks.size()) {
      return;
    }
    List<Runner> chosen = choose(s, q, candidates);
    if (chosen.isEmpty()) {
      return;
    }
    int number = 0;
    for (Task t : tasks) {
      number = Math.max(number, t.lastRun);
    }
    number++;
    s.gangRun = number;
    s.gangBroken = false;
    s.gangSinceMillis = cell.now;
    for (int i = 0; i < chosen.size(); i++) {
      runs.begin(tasks.get(i), chosen.get(i), number);
    }
    placement.notePlaced(s, chosen.size(), candidates.size());
  }

  /** Starts members that certainly did not start elsewhere, under the gang's run number. */
  private void replaceMissing(Step s, Queue q, List<Task> tasks, List<Runner> candidates) {
    if (s.gangBroken) {
      return;
    }
    long waited = cell.now - s.gangSinceMillis;
    boolean late = waited > REPLACE_PART * cell.limits.gangMillis();
    for (Task t : tasks) {
      Runner r = null;
      if (!late && cell.allowedByCeiling(s) > 0) {
        r =
            candidates.stream()
                .filter(c -> !c.id().equals(t.failedOn) && placement.copies(c, s, q) > 0)
                .min(Comparator.comparingDouble(c -> placement.cost(s, c)))
                .orElse(null);
      }
      if (r == null) {
        runs.giveUpGang(s);
        return;
      }
      runs.begin(t, r, s.gangRun);
    }
  }

  /** Stops gangs that did not become whole in time. */
  void checkWhole(Step s) {
    if (s.gangRun == 0 || s.gangBroken) {
      return;
    }
    boolean whole = s.tasks.stream().allMatch(t -> t.run != null && t.run.phase == Phase.PRESENT);
    long waited = cell.now - s.gangSinceMillis;
    if (!whole && waited > REPLACE_PART * cell.limits.gangMillis()) {
      runs.giveUpGang(s);
    }
  }

  /** Returns a runner for each task, or nothing if they do not all fit. */
  private List<Runner> choose(Step s, Queue q, List<Runner> candidates) {
    if (s.spec.sameRack()) {
      Map<String, List<Runner>> racks = new TreeMap<>();
      for (Runner r : candidates) {
        racks.computeIfAbsent(r.rack(), k -> new ArrayList<>()).add(r);
      }
      for (List<Runner> rack : racks.values()) {
        List<Runner> chosen = fill(s, q, rack);
        if (!chosen.isEmpty()) {
          return chosen;
        }
      }
      if (cell.now - s.readyMillis < ONE_RACK_MILLIS) {
        return List.of();
      }
    }
    return fill(s, q, candidates);
  }

  private List<Runner> fill(Step s, Queue q, List<Runner> candidates) {
    Map<Runner, Integer> copies = new HashMap<>();
    List<Runner> order = new ArrayList<>();
    for (Runner r : candidates) {
      int n = placement.copies(r, s, q);
      if (n > 0) {
        copies.put(r, n);
        order.add(r);
      }
    }
    order.sort(Comparator.comparingDouble(r -> placement.cost(s, r)));
    List<Runner> chosen = new ArrayList<>();
    for (Runner r : order) {
      for (int n = copies.get(r); n > 0 && chosen.size() < s.spec.tasks(); n--) {
        chosen.add(r);
      }
    }
    return chosen.size() < s.spec.tasks() ? List.of() : chosen;
  }
}
