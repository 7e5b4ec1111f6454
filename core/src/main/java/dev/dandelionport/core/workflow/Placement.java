package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.placement.DelayDecision.Situation;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/** Chooses runners for the waiting tasks of ready steps. */
final class Placement {

  /** Maximum number of steps examined in one pass; bounds the duration of a pass. */
  private static final int MAX_STEPS = 200;

  /**
   * Number of these that are examined in order of rank; the rest go to the steps that were not
   * examined for longest.
   */
  private static final int MAX_STEPS_IN_ORDER = 150;

  /**
   * Ranks of steps: in time, late, beyond the rate and the fair share of the account, too late for
   * the result to be of use.
   */
  private static final int IN_TIME = 0;

  private static final int LATE = 1;
  private static final int EXCESS = 2;
  private static final int WORTHLESS = 3;

  /** Names of the ranks in the log. */
  private static final List<String> RANKS = List.of("in time", "late", "excess", "worthless");

  /**
   * Fraction of the expected run time that must remain before the due time; less than 1 because
   * estimates are rough.
   */
  static final double MIN_REMAINING_FRACTION = 0.7;

  /** Multiple of its allowed time after which a workflow's result is of no use. */
  static final double WORTHLESS_FACTOR = 3;

  /**
   * Minimum remaining validity of a ticket, in milliseconds; covers writing the record and sending
   * the start.
   */
  private static final long MIN_TICKET_MILLIS = 80;

  /**
   * Cost added to a quarantined runner for work that should not be a probe, so that it only gets
   * such work if no other runner is free.
   */
  private static final double PROBE_COST = 100;

  /** Expected run time up to which a task may start on a runner that flaps, in milliseconds. */
  private static final long SHORT_MILLIS = 1_000;

  private final CellState cell;
  private final RunLifecycle runs;
  private final AdviceTracker advice;
  private final GangPlacement gangs;
  private final Preemption preemption;
  private final Headroom headroom;
  private final LocalityWait locality;
  private final FreeCapacityBound freeCapacity;

  /** Number of the latest pass, counted from 1. */
  private long passNumber;

  private PassCounts counts = PassCounts.NONE;

  Placement(
      CellState cell,
      RunLifecycle runs,
      AdviceTracker advice,
      ToLongFunction<Situation> delayDecision) {
    this.cell = cell;
    this.runs = runs;
    this.advice = advice;
    this.locality = new LocalityWait(cell, this, delayDecision);
    this.gangs = new GangPlacement(cell, runs, this, locality);
    this.preemption = new Preemption(cell, runs);
    this.headroom = new Headroom(cell, this::countRoom);
    this.freeCapacity = new FreeCapacityBound(cell, headroom);
  }

  GangPlacement gangs() {
    return gangs;
  }

  LocalityWait locality() {
    return locality;
  }

  /**
   * Starts the tasks that fit. Steps are examined in order of rank up to a limit; the rest of the
   * pass goes to the remaining steps, least recently examined first. Steps that cannot start
   * therefore never starve the steps behind them.
   *
   * @param maxStarts number of intended starts after which no further step is examined; a step is
   *     placed as a whole
   */
  void runPass(int maxStarts) {
    advice.clearRequested();
    cell.shares.refresh();
    headroom.update();
    freeCapacity.update();
    passNumber++;
    final long startsBefore = cell.startsIntended;
    int examined = 0;
    List<Step> skipped = new ArrayList<>();
    for (Step s : stepsByRank()) {
      if (examined == MAX_STEPS_IN_ORDER || cell.startsIntended - startsBefore >= maxStarts) {
        skipped.add(s);
      } else if (examine(s)) {
        examined++;
      }
    }
    skipped.sort(Comparator.comparingLong(s -> s.lastExaminedMillis));
    int revisited = 0;
    while (revisited < skipped.size()
        && examined < MAX_STEPS
        && cell.startsIntended - startsBefore < maxStarts) {
      examined += examine(skipped.get(revisited++)) ? 1 : 0;
    }
    counts = counts.plus(examined, skipped.size() - revisited);
  }

  /** Returns the counts of the passes since the last call. */
  PassCounts takeCounts() {
    PassCounts c = counts;
    counts = PassCounts.NONE;
    return c;
  }

  /**
   * Starts the tasks of a step that fit. Returns false if a cheap check ruled out any start, so
   * that the step does not count towards the limit of the pass.
   */
  private boolean examine(Step s) {
    s.lastReachedPass = passNumber;
    Queue q = cell.queueOf(s);
    if (q == null || isAtCeiling(s) || !s.hasStartable(cell.now)) {
      return false;
    }
    if (q.priority() > 0 && s.gangRun == 0 && !freeCapacity.mayFit(s, q)) {
      return false;
    }
    s.lastExaminedMillis = cell.now;
    List<Runner> candidates = candidates(s, q);
    List<Task> tasks = s.startable(cell.now);
    if (s.spec.gang()) {
      gangs.place(s, q, tasks, candidates);
    } else {
      placeTasks(s, q, tasks, candidates);
    }
    if (s.hasStartable(cell.now) && !isAtCeiling(s)) {
      advice.request(s);
      if (q.priority() == 0) {
        preemption.preemptFor(s, q, candidates);
      }
    }
    return true;
  }

  /** Returns whether the latest pass reached a step. */
  boolean wasReached(Step s) {
    return s.lastReachedPass == passNumber;
  }

  /** Returns the name of a step's rank for the log. */
  String rankName(Step s) {
    return RANKS.get(rank(s));
  }

  /** Returns whether the account's ceiling prevents any start of the step. */
  private boolean isAtCeiling(Step s) {
    // A started gang must be handled even if its missing members may not start.
    return s.gangRun == 0 && cell.tasksBelowCeiling(s) < (s.spec.gang() ? s.spec.tasks() : 1);
  }

  /**
   * Returns the ready steps in the order in which they are placed. Steps that can still be in time
   * precede late ones, and both precede what an account submitted beyond its rate. Steps whose
   * result is of no use any more come last. Within a rank and priority, steps of accounts that are
   * over their fair share come last.
   */
  private List<Step> stepsByRank() {
    List<List<Step>> ranks = new ArrayList<>();
    List<List<Step>> overFairShare = new ArrayList<>();
    for (int i = 0; i <= WORTHLESS; i++) {
      ranks.add(new ArrayList<>());
      overFairShare.add(new ArrayList<>());
    }
    int priority = Integer.MIN_VALUE;
    // Otherwise, the order of the set applies: priority, then due time.
    for (Step s : cell.ready) {
      if (s.priority != priority) {
        priority = s.priority;
        moveAll(overFairShare, ranks);
      }
      (cell.shares.isOver(s) ? overFairShare : ranks).get(rank(s)).add(s);
    }
    moveAll(overFairShare, ranks);
    List<Step> steps = new ArrayList<>(cell.ready.size());
    ranks.forEach(steps::addAll);
    return steps;
  }

  private static void moveAll(List<List<Step>> from, List<List<Step>> to) {
    for (int i = 0; i < from.size(); i++) {
      to.get(i).addAll(from.get(i));
      from.get(i).clear();
    }
  }

  private int rank(Step s) {
    boolean behind = cell.shares.isBehind(s);
    if (behind && !cell.shares.isComparing()) {
      return EXCESS;
    }
    double minRemainingMillis = MIN_REMAINING_FRACTION * cell.runTimes.expectedMillis(s);
    if (cell.now + minRemainingMillis <= s.dueMillis) {
      return behind ? EXCESS : IN_TIME;
    }
    long allowedMillis = s.dueMillis - s.workflow.acceptedMillis;
    if (cell.now - s.workflow.acceptedMillis > WORTHLESS_FACTOR * allowedMillis) {
      return WORTHLESS;
    }
    return behind ? EXCESS : LATE;
  }

  /** Returns the runners that may run a step now, regardless of their free capacity. */
  private List<Runner> candidates(Step s, Queue q) {
    List<Runner> list = new ArrayList<>();
    if (q.advice().isPresent()) {
      for (IncarnationId id : s.tickets.keySet()) {
        Runner r = cell.runners.get(id.runner());
        if (r != null && r.current().id.equals(id) && isUsable(r, s, q) && hasTicket(s, r)) {
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
    Step.Ticket t = s.ticketFor(r);
    return t != null && cell.now + MIN_TICKET_MILLIS < t.validUntilMillis();
  }

  /** Returns whether a runner may get tasks of a step, regardless of tickets and free capacity. */
  boolean isUsable(Runner r, Step s, Queue q) {
    return cell.mayRun(r, s, q)
        && r.health().acceptsRuns(cell.now)
        && (isShort(s) || !r.health().isFlapping(cell.now));
  }

  private boolean isShort(Step s) {
    return !s.spec.gang()
        && !s.spec.longRunning()
        && cell.runTimes.expectedMillis(s) <= SHORT_MILLIS;
  }

  /** Returns the free capacity of a runner that work of a priority may use at once. */
  ResourceVector freeFor(Runner r, int priority) {
    return priority > 0 ? r.free().minus(headroom.headroomOn(r)) : r.free();
  }

  /**
   * Returns how many more tasks of a step are to start on a runner. Unless the step may use the
   * headroom, its tasks leave that free, and best-effort ones only start where as much processor
   * time is free as they would use.
   */
  int countFitting(Runner r, Step s, Queue q) {
    ResourceVector free = r.free();
    if ((q.priority() > 0 || s.spec.bestEffort()) && !headroom.mayUseHeadroom(s, q)) {
      free = q.priority() > 0 ? free.minus(headroom.headroomOn(r)) : free;
      if (s.spec.bestEffort() && free.milliCores() < s.spec.size().milliCores()) {
        return 0;
      }
    }
    return countFittingIn(free, r, s);
  }

  private int countRoom(Step s, Queue q, int limit) {
    int n = 0;
    for (Runner r : cell.runners.values()) {
      if (n < limit && isUsable(r, s, q) && !(q.advice().isPresent() && s.isDenied(r))) {
        n += Math.min(limit, countRoomIn(r.free(), r, s));
      }
    }
    return n;
  }

  /** Returns how many more tasks of a step may start on a runner within the given free capacity. */
  int countFittingIn(ResourceVector free, Runner r, Step s) {
    return Math.min(countRoomIn(free, r, s), s.spec.tasks());
  }

  private int countRoomIn(ResourceVector free, Runner r, Step s) {
    int n = s.spec.reserved().countFittingIn(free);
    if (s.spec.maxPerRunner() > 0) {
      n = Math.min(n, s.spec.maxPerRunner() - r.countRuns(s));
    }
    if (r.health().isQuarantined()) {
      // Only one probe at a time, also among the tasks of one step.
      n = Math.min(n, r.health().acceptsRuns(cell.now) ? 1 : 0);
    }
    return Math.max(0, n);
  }

  private void placeTasks(Step s, Queue q, List<Task> tasks, List<Runner> candidates) {
    int allowed = cell.tasksBelowCeiling(s);
    List<Runner> chosen = new ArrayList<>();
    for (Task t : tasks) {
      if (chosen.size() >= allowed) {
        break;
      }
      Runner r = cheapestRunner(s, q, t, candidates);
      if (r == null || waitsForLocal(s, q, r, tasks.size() - chosen.size(), candidates)) {
        break;
      }
      runs.intendStart(t, r, t.lastRun + 1);
      chosen.add(r);
    }
    if (!chosen.isEmpty()) {
      logPlaced(s, chosen, candidates.size());
    }
  }

  /** Logs the runners that were chosen for tasks of a step, one for each task. */
  void logPlaced(Step s, List<Runner> chosen, int candidates) {
    List<Object> fields = new ArrayList<>();
    WaitLogger.add(fields, "step", s.key.toString());
    WaitLogger.add(fields, "tasks", chosen.size());
    WaitLogger.add(fields, "candidates", candidates);
    WaitLogger.add(fields, "waitedMillis", cell.now - s.readyMillis);
    if (LocalityWait.prefersRack(s)) {
      locality.addPlaced(s, chosen, fields);
    }
    WaitLogger.add(fields, "policy", cell.policy.version());
    cell.log(Topic.PLACED, fields.toArray());
  }

  private Runner cheapestRunner(Step s, Queue q, Task t, List<Runner> candidates) {
    Runner best = null;
    double bestCost = 0;
    for (Runner r : candidates) {
      if (countFitting(r, s, q) > 0) {
        double cost = cost(s, r) + (r.id().equals(t.failedOn) ? 1 : 0);
        if (best == null || cost < bestCost) {
          best = r;
          bestCost = cost;
        }
      }
    }
    return best;
  }

  /**
   * Returns whether {@code waiting} tasks wait for a local place instead of the cheapest one. They
   * do not if a local place is free but costs more, as on a slow runner.
   */
  private boolean waitsForLocal(
      Step s, Queue q, Runner cheapest, int waiting, List<Runner> candidates) {
    return !LocalityWait.isLocal(s, cheapest)
        && candidates.stream()
            .noneMatch(r -> LocalityWait.isLocal(s, r) && countFitting(r, s, q) > 0)
        && locality.mustWait(s, q, waiting, candidates);
  }

  /**
   * Returns the cost of placing a task of a step on a runner: higher for a slow or failing runner
   * and for one away from the step's data; free capacity also adds to it, but lowers it for
   * best-effort steps.
   */
  double cost(Step s, Runner r) {
    double cost = r.health().cost();
    boolean unfitAsProbe = s.priority == 0 || s.spec.gang();
    cost += unfitAsProbe && r.health().isQuarantined() ? PROBE_COST : 0;
    if (!LocalityWait.isLocal(s, r)) {
      cost *= cell.limits.remoteFactor();
    }
    ResourceVector c = r.description().capacity();
    double freeFraction = c.milliCores() <= 0 ? 0 : (double) r.free().milliCores() / c.milliCores();
    // Packing runners keeps others empty for gangs; best-effort tasks go where most capacity is
    // free.
    return cost + (s.spec.bestEffort() ? -0.3 : 0.3) * freeFraction;
  }
}
