package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Chooses runners for the tasks of the steps whose turn has come. */
final class Placement {

  /** Steps that are looked at in one pass; bounds its time. */
  private static final int MAX_STEPS = 200;

  /** Steps among them that come by their order; those that waited longest for a look follow. */
  private static final int FIRST_STEPS = 150;

  /** Ranks of steps: in time, late, beyond the account's weight, too late to be of use. */
  private static final int IN_TIME = 0;

  private static final int LATE = 1;
  private static final int EXCESS = 2;
  private static final int WORTHLESS = 3;

  /** What the log calls the ranks. */
  private static final List<String> RANKS = List.of("in time", "late", "excess", "worthless");

  /** Part of a run's expected time that must be left before its due time; estimates are rough. */
  private static final double REMAINING_PART = 0.7;

  /** How many times the allowed time a workflow may take until its result is of no use. */
  private static final double WORTHLESS_FACTOR = 3;

  /** Time that a ticket must still be valid, for the record and the start, in milliseconds. */
  private static final long TICKET_SPARE_MILLIS = 80;

  private final Cell cell;
  private final Runs runs;
  private final AdviceBook advice;
  private final GangPlacement gangs;
  private final Preemption preemption;
  private final Headroom headroom;
  private final LargestRoom room;

  /** Number of the latest pass, from 1. */
  private long passes;

  private PassCounts counts = PassCounts.NONE;

  Placement(Cell cell, Runs runs, AdviceBook advice) {
    this.cell = cell;
    this.runs = runs;
    this.advice = advice;
    this.gangs = new GangPlacement(cell, runs, this);
    this.preemption = new Preemption(cell, runs);
    this.headroom = new Headroom(cell);
    this.room = new LargestRoom(cell, headroom);
  }

  GangPlacement gangs() {
    return gangs;
  }

  /**
   * Starts what fits: first in order, then those steps in turn that the bound of a pass left out,
   * so that steps which cannot start keep no other step from being looked at.
   */
  void pass() {
    advice.clear();
    headroom.update();
    room.update();
    passes++;
    int looked = 0;
    List<Step> left = new ArrayList<>();
    for (Step s : order()) {
      if (looked == FIRST_STEPS) {
        left.add(s);
      } else if (look(s)) {
        looked++;
      }
    }
    left.sort(Comparator.comparingLong(s -> s.lookedMillis));
    int turns = 0;
    while (turns < left.size() && looked < MAX_STEPS) {
      looked += look(left.get(turns++)) ? 1 : 0;
    }
    counts = counts.plus(looked, left.size() - turns);
  }

  /** Returns what the passes since the last call looked at. */
  PassCounts takeCounts() {
    PassCounts c = counts;
    counts = PassCounts.NONE;
    return c;
  }

  /** Starts what fits of a step; returns false if it was plain that nothing can start. */
  private boolean look(Step s) {
    s.reachedPass = passes;
    Queue q = cell.queueOf(s);
    if (q == null || isAtCeiling(s) || !s.hasStartable(cell.now)) {
      return false;
    }
    if (q.priority() > 0 && s.gangRun == 0 && !room.mayFit(s, q)) {
      return false;
    }
    s.lookedMillis = cell.now;
    List<Runner> candidates = candidates(s, q);
    List<Task> tasks = s.startable(cell.now);
    if (s.spec.gang()) {
      gangs.place(s, q, tasks, candidates);
    } else {
      placeEach(s, q, tasks, candidates);
    }
    if (s.hasStartable(cell.now) && !isAtCeiling(s)) {
      advice.want(s);
      if (q.priority() == 0) {
        preemption.makeRoom(s, q, candidates);
      }
    }
    return true;
  }

  /** Returns whether the latest pass came as far as a step. */
  boolean reached(Step s) {
    return s.reachedPass == passes;
  }

  /** Returns the name of a step's rank for logs. */
  String rankName(Step s) {
    return RANKS.get(rank(s));
  }

  /** Returns whether the account's ceiling keeps the step from starting anything. */
  private boolean isAtCeiling(Step s) {
    // A gang that has started must be dealt with also when its missing members may not start.
    return s.gangRun == 0 && cell.allowedByCeiling(s) < (s.spec.gang() ? s.spec.tasks() : 1);
  }

  /**
   * Returns the steps in the order in which they get room. Work that can still be in time goes
   * before work that is late anyway, and both before what an account sends beyond its weight.
   */
  private List<Step> order() {
    List<List<Step>> ranks = new ArrayList<>();
    for (int i = 0; i <= WORTHLESS; i++) {
      ranks.add(new ArrayList<>());
    }
    // Within a rank, priority and due time decide: the order of the set.
    for (Step s : cell.ready) {
      ranks.get(rank(s)).add(s);
    }
    List<Step> steps = new ArrayList<>(cell.ready.size());
    ranks.forEach(steps::addAll);
    return steps;
  }

  private int rank(Step s) {
    if (s.workflow.spec.excess()) {
      return EXCESS;
    }
    double left = REMAINING_PART * cell.times.expectedMillis(s);
    if (cell.now + left <= s.dueMillis) {
      return IN_TIME;
    }
    long allowed = s.dueMillis - s.workflow.acceptedMillis;
    return cell.now - s.workflow.acceptedMillis > WORTHLESS_FACTOR * allowed ? WORTHLESS : LATE;
  }

  /** Returns the runners that may run a step now, whether or not there is room. */
  private List<Runner> candidates(Step s, Queue q) {
    List<Runner> list = new ArrayList<>();
    if (q.advice().isPresent()) {
      for (String id : s.tickets.keySet()) {
        Runner r = cell.runners.get(id);
        if (r != null && isUsable(r, s, q) && hasTicket(s, r)) {
          list.add(r);
        }
      }
      return list;
    }
    for (Runner r : cell.runners.values()) {
      if (isUsable(r, s, q)) {
        list.add(r);
      }
    }
    return list;
  }

  boolean hasTicket(Step s, Runner r) {
    Step.Ticket t = s.tickets.get(r.id());
    return t != null && t.born() == r.born && cell.now + TICKET_SPARE_MILLIS < t.untilMillis();
  }

  /** Returns whether a runner may get tasks of a step, tickets and room aside. */
  boolean isUsable(Runner r, Step s, Queue q) {
    return cell.takesWork(r, q)
        && (s.spec.label().isEmpty() || r.info.labels().contains(s.spec.label()))
        && r.health.accepts(cell.now);
  }

  /** Returns how many more tasks of a step a runner has room for. */
  int copies(Runner r, Step s, Queue q) {
    ResourceVector free = r.free();
    boolean keeps = q.priority() > 0 && !headroom.givesWay(s, q);
    return copiesIn(keeps ? free.minus(headroom.keptFree(r)) : free, r, s);
  }

  /** Returns how many more tasks of a step may start in a part of a runner's room. */
  int copiesIn(ResourceVector free, Runner r, Step s) {
    int n = s.spec.reserved().countFittingIn(free);
    if (s.spec.filler() && free.milliCores() < s.spec.size().milliCores()) {
      // Fillers take what is left over; without any they only hold memory.
      n = 0;
    }
    if (s.spec.maxPerRunner() > 0) {
      n = Math.min(n, s.spec.maxPerRunner() - r.count(s));
    }
    if (r.health.isHeld()) {
      // One probe at a time, also while the tasks of one step are placed.
      n = Math.min(n, r.health.accepts(cell.now) ? 1 : 0);
    }
    return Math.max(0, Math.min(n, s.spec.tasks()));
  }

  private void placeEach(Step s, Queue q, List<Task> tasks, List<Runner> candidates) {
    int allowed = cell.allowedByCeiling(s);
    int placed = 0;
    for (Task t : tasks) {
      if (placed >= allowed) {
        break;
      }
      Runner r = best(s, q, t, candidates);
      if (r == null) {
        break;
      }
      runs.begin(t, r, t.lastRun + 1);
      placed++;
    }
    if (placed > 0) {
      notePlaced(s, placed, candidates.size());
    }
  }

  void notePlaced(Step s, int placed, int candidates) {
    cell.note(
        Topic.PLACED,
        "step",
        s.key.toString(),
        "tasks",
        placed,
        "candidates",
        candidates,
        "waitedMillis",
        cell.now - s.readyMillis,
        "policy",
        cell.policy.version());
  }

  private Runner best(Step s, Queue q, Task t, List<Runner> candidates) {
    Runner best = null;
    double bestCost = 0;
    for (Runner r : candidates) {
      if (copies(r, s, q) > 0) {
        double cost = cost(s, r) + (r.id().equals(t.failedOn) ? 1 : 0);
        if (best == null || cost < bestCost) {
          best = r;
          bestCost = cost;
        }
      }
    }
    return best;
  }

  /** Returns how little a runner suits a step: slow, failing, away from the data, or too empty. */
  double cost(Step s, Runner r) {
    double cost = r.health.cost();
    if (!s.spec.nearRack().isEmpty() && !r.info.labels().contains(s.spec.nearRack())) {
      cost *= cell.limits.remoteFactor();
    }
    ResourceVector c = r.info.capacity();
    double left = c.milliCores() <= 0 ? 0 : (double) r.free().milliCores() / c.milliCores();
    // Filling up runners keeps whole ones free for gangs; fillers go where most is left.
    return cost + (s.spec.filler() ? -0.3 : 0.3) * left;
  }
}
