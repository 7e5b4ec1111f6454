package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Collects room for gangs that do not fit now: a gang holds runners that may run it, and other work
 * that is not of the first priority stays off them until the gang has started. Without this, small
 * tasks would take each piece of room as it appears.
 */
final class GangReservations {

  /** Most gangs that hold runners at a time. */
  private static final int MAX_GANGS = 3;

  /** Most of the runners that are held, as a part of all. */
  private static final double MAX_PART = 0.25;

  private final Cell cell;
  private final Map<Step, Set<Runner>> held = new LinkedHashMap<>();
  private final Map<Runner, Step> holder = new HashMap<>();

  GangReservations(Cell cell) {
    this.cell = cell;
  }

  /** Returns whether a runner is held for another step. */
  boolean isHeldFromOthers(Runner r, Step s) {
    Step h = holder.get(r);
    return h != null && h != s;
  }

  /** Drops what is no longer needed or can no longer be used. */
  void update(Placement placement) {
    for (Step s : List.copyOf(held.keySet())) {
      Queue q = cell.queueOf(s);
      boolean wanted = q != null && cell.ready.contains(s) && s.gangRun == 0;
      boolean usable = wanted && held.get(s).stream().allMatch(r -> placement.isUsable(r, s, q));
      if (!usable) {
        drop(s);
      }
    }
  }

  private void drop(Step s) {
    held.remove(s).forEach(holder::remove);
  }

  /** Holds runners for a gang that was not placed, if enough may run it. */
  void hold(Step s, Queue q, Placement placement) {
    if (held.containsKey(s) || held.size() >= MAX_GANGS) {
      return;
    }
    List<Runner> possible = new ArrayList<>();
    for (Runner r : cell.runners.values()) {
      if (s.allowed.contains(r.id() + r.born)
          && !holder.containsKey(r)
          && placement.isUsable(r, s, q)) {
        possible.add(r);
      }
    }
    // Those with most room now are free soonest.
    possible.sort(Comparator.comparingLong((Runner r) -> r.free().milliCores()).reversed());
    Set<Runner> chosen = new HashSet<>();
    int room = 0;
    for (Runner r : possible) {
      int n = placement.copiesWhenEmpty(r, s, q);
      if (n > 0 && room < s.spec.tasks()) {
        chosen.add(r);
        room += n;
      }
    }
    boolean fits = room >= s.spec.tasks();
    if (fits && holder.size() + chosen.size() <= MAX_PART * cell.runners.size()) {
      held.put(s, chosen);
      chosen.forEach(r -> holder.put(r, s));
    }
  }
}
