package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Selects the runners that an advice call names. */
final class AdviceRunnerSelector {

  /** Maximum number of runners in one call. */
  private static final int MAX_RUNNERS_PER_CALL = 100;

  /** Minimum number of runners in a call, so that few calls return without any allowed runner. */
  private static final int MIN_RUNNERS_PER_CALL = 6;

  /** Time that the runners of a gang call may add to it, as a multiple of the call's fixed time. */
  private static final double GANG_CALL_FACTOR = 0.5;

  /**
   * Minimum time that the runners of a call add to it, as a multiple of its fixed time, if there
   * are as many to ask about. A call about few runners takes an instance nearly as long, and the
   * answers remain valid for later calls of the step.
   */
  private static final double MIN_CALL_FACTOR = 0.25;

  /** Factor by which the requested capacity exceeds what the step needs. */
  private static final double SPARE_FACTOR = 1.6;

  /**
   * Factor by which the capacity that pending calls are expected to allow must exceed what is
   * missing for no further call to be made. It is below {@link #SPARE_FACTOR}, so that small
   * changes of the free capacity cause no call.
   */
  private static final double PENDING_SPARE_FACTOR = 1.2;

  /** Expected fraction of allowed runners before the first answer for a queue. */
  private static final double INITIAL_ALLOWED_FRACTION = 0.4;

  /** Weight of the latest call in the fraction of allowed runners. */
  private static final double LATEST_CALL_WEIGHT = 0.1;

  private final CellState cell;
  private final Placement placement;

  /** Fraction of allowed runners by queue. */
  private final Map<String, Double> allowedFractions = new HashMap<>();

  AdviceRunnerSelector(CellState cell, Placement placement) {
    this.cell = cell;
    this.placement = placement;
  }

  /** Records the fraction of runners that a call for a step of a queue allowed. */
  void recordAllowedFraction(Queue q, double fraction) {
    double previous = allowedFraction(q);
    allowedFractions.put(q.name(), previous + LATEST_CALL_WEIGHT * (fraction - previous));
  }

  /** Returns the fraction of named runners that is expected to be allowed for a queue. */
  double allowedFraction(Queue q) {
    return allowedFractions.getOrDefault(q.name(), INITIAL_ALLOWED_FRACTION);
  }

  /** Returns the expected duration of a call, in milliseconds. */
  static double callMillis(Advice a, int runners) {
    return a.decideMillis() + runners * a.perRunnerMillis();
  }

  /**
   * Returns usable runners on which there is no advice for a step yet, regardless of their free
   * capacity.
   */
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

  /**
   * The runners on which tasks of a step fit, by the state of their advice, and how many tasks fit.
   */
  private static final class Survey {
    /** Allowed runners whose tickets are missing or expire too early. */
    final List<Runner> allowedRunners = new ArrayList<>();

    /** Runners without advice and without a pending call. */
    final List<Runner> undecidedRunners = new ArrayList<>();

    int fittingWithTicket;
    int fittingOnAllowed;
    int fittingOnUndecided;

    /** Tasks that fit on allowed and on undecided runners with a pending call. */
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
      if (placement.hasTicket(s, r) && s.ticketFor(r).validUntilMillis() > minValidUntilMillis) {
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

  /** Returns the runners for the next call, none if its answer would not be useful now. */
  List<Runner> selectRunners(Step s, Queue q, Advice a) {
    final boolean gang = s.spec.gang();
    int needed = gang ? s.spec.tasks() : Math.max(1, s.startable(cell.now).size());
    int maxRunners = gang ? maxRunnersPerGangCall(a) : MAX_RUNNERS_PER_CALL;
    // All members of a gang need valid tickets at the same time, so tickets must outlast the
    // longest call.
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
      double expectedTasks = fraction * v.pendingOnUndecided;
      double tasksOnUndecided =
          expectedTasks > PENDING_SPARE_FACTOR * missing
              ? 0
              : SPARE_FACTOR * missing - expectedTasks;
      int minRunners = tasksOnUndecided > 0 ? minRunnersPerCall(a) : 0;
      int maxUndecided = Math.min(maxRunners - selected.size(), MAX_RUNNERS_PER_CALL / 2);
      selected.addAll(
          selectCheapest(
              s, q, v.undecidedRunners, tasksOnUndecided, fraction, minRunners, maxUndecided));
    }
    boolean small = selected.size() < minRunnersPerCall(a);
    // While a call is pending, a further one about few runners is not worth its fixed time.
    return gang && small && s.pendingAdviceCalls > 0 ? List.of() : selected;
  }

  /**
   * Returns the cheapest of the given runners: as many as are expected to have room for {@code
   * tasks} if {@code fraction} of them is allowed, but {@code minRunners} to {@code maxRunners}.
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

  /**
   * Returns the maximum number of runners in one call for a gang; several calls may run in
   * parallel.
   */
  private static int maxRunnersPerGangCall(Advice a) {
    return runnersWithin(a, GANG_CALL_FACTOR, MAX_RUNNERS_PER_CALL);
  }

  /** Returns the number of runners without advice that a call names if there are as many. */
  private static int minRunnersPerCall(Advice a) {
    return runnersWithin(a, MIN_CALL_FACTOR, MAX_RUNNERS_PER_CALL / 2);
  }

  /** Returns how many runners lengthen a call by {@code factor} times its fixed time. */
  private static int runnersWithin(Advice a, double factor, int maxRunners) {
    double runners = factor * a.decideMillis() / Math.max(0.01, a.perRunnerMillis());
    return (int) Math.max(MIN_RUNNERS_PER_CALL, Math.min(maxRunners, runners));
  }
}
