package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Chooses the runners that a call for advice names. */
final class AdviceRunnerSelector {

  /** Most runners that one call may name. */
  private static final int MAX_RUNNERS_PER_CALL = 100;

  /** Runners that are named at least, so that few calls come back without any. */
  private static final int MIN_RUNNERS_PER_CALL = 6;

  /** Time that a call about a gang spends on its runners, as a multiple of its fixed time. */
  private static final double GANG_CALL_FACTOR = 0.5;

  /** How much more room is asked for than the step needs. */
  private static final double SPARE_FACTOR = 1.6;

  /** Part of the named runners that is allowed, before any answer of a queue is known. */
  private static final double INITIAL_ALLOWED_FRACTION = 0.4;

  /** Weight of the latest call in the share of allowed runners. */
  private static final double LATEST_CALL_WEIGHT = 0.1;

  private final CellState cell;
  private final Placement placement;

  /** Share of allowed runners by queue. */
  private final Map<String, Double> allowedFractions = new HashMap<>();

  AdviceRunnerSelector(CellState cell, Placement placement) {
    this.cell = cell;
    this.placement = placement;
  }

  /** Takes over the share of runners that a step of a queue was allowed to use. */
  void recordAllowedFraction(Queue q, double fraction) {
    double before = allowedFraction(q);
    allowedFractions.put(q.name(), before + LATEST_CALL_WEIGHT * (fraction - before));
  }

  /** Returns the part of a queue's named runners that is expected to be allowed. */
  double allowedFraction(Queue q) {
    return allowedFractions.getOrDefault(q.name(), INITIAL_ALLOWED_FRACTION);
  }

  /** Returns the time that a call is expected to take, in milliseconds. */
  static double callMillis(Advice a, int runners) {
    return a.decideMillis() + runners * a.perRunnerMillis();
  }

  /** Returns runners that a step was not asked about, whether or not they have room. */
  List<Runner> selectUndecided(Step s, Queue q, Advice a) {
    List<Runner> selected = new ArrayList<>();
    for (Runner r : cell.runners.values()) {
      boolean decided = s.isAllowed(r) || s.isDenied(r);
      if (!decided && placement.isUsable(r, s, q) && selected.size() < maxRunnersPerGangCall(a)) {
        selected.add(r);
      }
    }
    return selected;
  }

  /** What is known of the runners that have room for a step, and how many tasks fit on them. */
  private static final class Survey {
    /** Runners that may run the step but whose tickets do not last. */
    final List<Runner> allowedRunners = new ArrayList<>();

    /** Runners that were not asked about yet. */
    final List<Runner> undecidedRunners = new ArrayList<>();

    int fittingWithTicket;
    int fittingOnAllowed;
    int fittingOnUndecided;

    /** Room of the first and the second kind about which calls are under way. */
    int pendingOnAllowed;

    int pendingOnUndecided;
  }

  private Survey survey(Step s, Queue q, long minValidUntilMillis) {
    Survey v = new Survey();
    for (Runner r : cell.runners.values()) {
      int fitting = placement.isUsable(r, s, q) ? placement.countFitting(r, s, q) : 0;
      if (fitting == 0) {
        continue;
      }
      boolean allowed = s.isAllowed(r);
      boolean denied = !allowed && s.isDenied(r);
      boolean pending = s.pendingAdviceRunners.containsKey(r.id());
      if (placement.hasTicket(s, r)
          && s.tickets.get(r.id()).validUntilMillis() > minValidUntilMillis) {
        v.fittingWithTicket += fitting;
      } else if (allowed && pending) {
        v.pendingOnAllowed += fitting;
      } else if (allowed) {
        v.allowedRunners.add(r);
        v.fittingOnAllowed += fitting;
      } else if (!denied && pending) {
        v.pendingOnUndecided += fitting;
      } else if (!denied) {
        v.undecidedRunners.add(r);
        v.fittingOnUndecided += fitting;
      }
    }
    return v;
  }

  /** Returns the runners to ask about, none if the answer could not help now. */
  List<Runner> selectRunners(Step s, Queue q, Advice a) {
    final boolean gang = s.spec.gang();
    int needed = gang ? s.spec.tasks() : Math.max(1, s.startable(cell.now).size());
    int maxRunners = gang ? maxRunnersPerGangCall(a) : MAX_RUNNERS_PER_CALL;
    // All members of a gang need tickets at once, also those whose calls end last.
    long minValidUntilMillis = gang ? cell.now + (long) callMillis(a, maxRunners) : cell.now;
    Survey v = survey(s, q, minValidUntilMillis);
    int missing = needed - v.fittingWithTicket - v.fittingOnAllowed - v.pendingOnAllowed;
    if (v.fittingWithTicket >= needed
        || gang && v.fittingOnUndecided + v.pendingOnUndecided < missing) {
      return List.of();
    }
    double tasksOnAllowed = SPARE_FACTOR * (needed - v.fittingWithTicket) - v.pendingOnAllowed;
    List<Runner> selected =
        selectCheapest(s, q, v.allowedRunners, tasksOnAllowed, 1, 0, maxRunners);
    if (missing > 0 || !gang && v.fittingWithTicket + v.fittingOnAllowed < needed * SPARE_FACTOR) {
      double fraction = allowedFraction(q);
      double tasksOnUndecided = SPARE_FACTOR * missing - fraction * v.pendingOnUndecided;
      int minRunners = v.pendingOnUndecided > 0 ? 0 : MIN_RUNNERS_PER_CALL;
      int maxUndecided = Math.min(maxRunners - selected.size(), MAX_RUNNERS_PER_CALL / 2);
      selected.addAll(
          selectCheapest(
              s, q, v.undecidedRunners, tasksOnUndecided, fraction, minRunners, maxUndecided));
    }
    return selected;
  }

  /**
   * Returns the best of some runners, {@code least} to {@code most} of them, up to those of which
   * {@code part} has room for {@code tasks}.
   */
  private List<Runner> selectCheapest(
      Step s,
      Queue q,
      List<Runner> runners,
      double tasks,
      double fraction,
      int minRunners,
      int maxRunners) {
    runners.sort(Comparator.comparingDouble(r -> placement.cost(s, r)));
    List<Runner> selected = new ArrayList<>();
    double expectedTasks = 0;
    for (Runner r : runners) {
      if (selected.size() >= maxRunners
          || expectedTasks >= tasks && selected.size() >= minRunners) {
        break;
      }
      selected.add(r);
      expectedTasks += fraction * placement.countFitting(r, s, q);
    }
    return selected;
  }

  /** Returns how many runners one of several calls about a gang names. */
  private static int maxRunnersPerGangCall(Advice a) {
    double runners = GANG_CALL_FACTOR * a.decideMillis() / Math.max(0.01, a.perRunnerMillis());
    return (int) Math.max(MIN_RUNNERS_PER_CALL, Math.min(MAX_RUNNERS_PER_CALL, runners));
  }
}
