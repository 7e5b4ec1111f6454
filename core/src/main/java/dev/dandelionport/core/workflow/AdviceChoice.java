package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Chooses the runners that a call for advice names. */
final class AdviceChoice {

  /** Most runners that one call may name. */
  private static final int MAX_NAMED = 100;

  /** Runners that are named at least, so that few calls come back without any. */
  private static final int MIN_NAMED = 6;

  /** Time that a call about a gang spends on its runners, as a multiple of its fixed time. */
  private static final double GANG_CALL_FACTOR = 0.5;

  /** How much more room is asked for than the step needs. */
  private static final double SPARE = 1.6;

  /** Part of the named runners that is allowed, before any answer of a queue is known. */
  private static final double FIRST_ALLOWED_PART = 0.4;

  /** Weight of the latest call in the share of allowed runners. */
  private static final double GAIN = 0.1;

  private final Cell cell;
  private final Placement placement;

  /** Share of allowed runners by queue. */
  private final Map<String, Double> allowedPart = new HashMap<>();

  AdviceChoice(Cell cell, Placement placement) {
    this.cell = cell;
    this.placement = placement;
  }

  /** Takes over the share of runners that a step of a queue was allowed to use. */
  void learn(Queue q, double part) {
    double before = allowedPart(q);
    allowedPart.put(q.name(), before + GAIN * (part - before));
  }

  /** Returns the part of a queue's named runners that is expected to be allowed. */
  double allowedPart(Queue q) {
    return allowedPart.getOrDefault(q.name(), FIRST_ALLOWED_PART);
  }

  /** Returns the time that a call is expected to take, in milliseconds. */
  static double cost(Advice a, int runners) {
    return a.decideMillis() + runners * a.perRunnerMillis();
  }

  /** Returns runners that a step was not asked about, whether or not they have room. */
  List<Runner> unknown(Step s, Queue q, Advice a) {
    List<Runner> named = new ArrayList<>();
    for (Runner r : cell.runners.values()) {
      boolean known = s.isAllowed(r) || s.isDenied(r);
      if (!known && placement.isUsable(r, s, q) && named.size() < gangPart(a)) {
        named.add(r);
      }
    }
    return named;
  }

  /** What is known of the runners that have room for a step, and how many tasks fit on them. */
  private static final class Survey {
    /** Runners that may run the step but whose tickets do not last. */
    final List<Runner> known = new ArrayList<>();

    /** Runners that were not asked about yet. */
    final List<Runner> unknown = new ArrayList<>();

    int ticketed;
    int knownRoom;
    int unknownRoom;

    /** Room of the first and the second kind about which calls are under way. */
    int knownAsked;

    int unknownAsked;
  }

  private Survey survey(Step s, Queue q, long lastingMillis) {
    Survey v = new Survey();
    for (Runner r : cell.runners.values()) {
      int room = placement.isUsable(r, s, q) ? placement.copies(r, s, q) : 0;
      if (room == 0) {
        continue;
      }
      boolean allowed = s.isAllowed(r);
      boolean denied = !allowed && s.isDenied(r);
      boolean asked = s.asked.containsKey(r.id());
      if (placement.hasTicket(s, r) && s.tickets.get(r.id()).untilMillis() > lastingMillis) {
        v.ticketed += room;
      } else if (allowed && asked) {
        v.knownAsked += room;
      } else if (allowed) {
        v.known.add(r);
        v.knownRoom += room;
      } else if (!denied && asked) {
        v.unknownAsked += room;
      } else if (!denied) {
        v.unknown.add(r);
        v.unknownRoom += room;
      }
    }
    return v;
  }

  /** Returns the runners to ask about, none if the answer could not help now. */
  List<Runner> helpful(Step s, Queue q, Advice a) {
    final boolean gang = s.spec.gang();
    int needed = gang ? s.spec.tasks() : Math.max(1, s.startable(cell.now).size());
    int most = gang ? gangPart(a) : MAX_NAMED;
    // All members of a gang need tickets at once, also those whose calls end last.
    long lasting = gang ? cell.now + (long) cost(a, most) : cell.now;
    Survey v = survey(s, q, lasting);
    int missing = needed - v.ticketed - v.knownRoom - v.knownAsked;
    if (v.ticketed >= needed || gang && v.unknownRoom + v.unknownAsked < missing) {
      return List.of();
    }
    double known = SPARE * (needed - v.ticketed) - v.knownAsked;
    List<Runner> named = first(s, q, v.known, known, 1, 0, most);
    if (missing > 0 || !gang && v.ticketed + v.knownRoom < needed * SPARE) {
      double part = allowedPart(q);
      double fresh = SPARE * missing - part * v.unknownAsked;
      int least = v.unknownAsked > 0 ? 0 : MIN_NAMED;
      int left = Math.min(most - named.size(), MAX_NAMED / 2);
      named.addAll(first(s, q, v.unknown, fresh, part, least, left));
    }
    return named;
  }

  /**
   * Returns the best of some runners, {@code least} to {@code most} of them, up to those of which
   * {@code part} has room for {@code tasks}.
   */
  private List<Runner> first(
      Step s, Queue q, List<Runner> runners, double tasks, double part, int least, int most) {
    runners.sort(Comparator.comparingDouble(r -> placement.cost(s, r)));
    List<Runner> named = new ArrayList<>();
    double room = 0;
    for (Runner r : runners) {
      if (named.size() >= most || room >= tasks && named.size() >= least) {
        break;
      }
      named.add(r);
      room += part * placement.copies(r, s, q);
    }
    return named;
  }

  /** Returns how many runners one of several calls about a gang names. */
  private static int gangPart(Advice a) {
    double runners = GANG_CALL_FACTOR * a.decideMillis() / Math.max(0.01, a.perRunnerMillis());
    return (int) Math.max(MIN_NAMED, Math.min(MAX_NAMED, runners));
  }
}
