package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/** Decides when to ask which runners may run a step, and about which, and keeps the answers. */
final class AdviceBook {

  /** Most runners that one call may name. */
  private static final int MAX_NAMED = 100;

  /** Runners that are named at least, so that few calls come back without any. */
  private static final int MIN_NAMED = 6;

  /** Most calls about one gang at a time. */
  private static final int MAX_GANG_CALLS = 8;

  /**
   * Most calls at a time about gangs that do not fit at present. Which runners are allowed never
   * changes, so that such a call saves others later.
   */
  private static final int MAX_LEARNING_CALLS = 2;

  /** Time that a call about a gang spends on its runners, as a multiple of its fixed time. */
  private static final double GANG_CALL_FACTOR = 0.5;

  /** How much more room is asked for than the step needs. */
  private static final double SPARE = 1.6;

  /** Part of the named runners that is allowed, before any answer of a queue is known. */
  private static final double FIRST_ALLOWED_PART = 0.4;

  private static final double GAIN = 0.1;

  /**
   * Shortest time from an answer to the next call about urgent steps and gangs, in milliseconds.
   */
  private static final long ASK_AGAIN_MILLIS = 30;

  /** Shortest time from an answer to the next call about another step, in milliseconds. */
  private static final long ASK_AGAIN_LATER_MILLIS = 250;

  /** Time by which a ticket is taken to end early, in milliseconds. */
  private static final long EARLY_MILLIS = 30;

  private final Cell cell;
  private final Map<String, Double> allowedPart = new HashMap<>();

  /** Steps that want advice, the most urgent first. */
  private final Set<Step> wanted = new LinkedHashSet<>();

  /** Steps whose predecessors are about to be done. */
  private final Set<Step> ahead = new LinkedHashSet<>();

  /** Gangs that do not fit at present, whatever runners are allowed. */
  private final Set<Step> unfit = new LinkedHashSet<>();

  /** Gangs about which a call is under way that cannot help at present. */
  private final Set<Step> learning = new HashSet<>();

  private Placement placement;

  AdviceBook(Cell cell) {
    this.cell = cell;
  }

  void use(Placement p) {
    placement = p;
  }

  /** Forgets which steps want advice; a new pass of the placement tells. */
  void clear() {
    wanted.clear();
    unfit.clear();
  }

  /** Forgets which steps are asked about ahead; the tick tells. */
  void clearAhead() {
    ahead.clear();
  }

  /** Notes that a step has tasks that were not placed. */
  void want(Step s) {
    wanted.add(s);
  }

  /** Returns the most useful call that costs at most {@code maxMillis}. */
  Optional<AdviceRequest> next(double maxMillis) {
    return next(wanted, maxMillis).or(() -> next(ahead, maxMillis)).or(() -> learn(maxMillis));
  }

  private Optional<AdviceRequest> next(Set<Step> steps, double maxMillis) {
    for (Iterator<Step> i = steps.iterator(); i.hasNext(); ) {
      Step s = i.next();
      Queue q = cell.queueOf(s);
      int most = s.spec.gang() ? MAX_GANG_CALLS : 1;
      if (!mayAsk(s, q, most, maxMillis)) {
        continue;
      }
      Advice a = q.advice().get();
      List<Runner> named = choose(s, q, a);
      if (named.isEmpty() || !s.spec.gang()) {
        i.remove();
      }
      if (!named.isEmpty()) {
        return Optional.of(ask(s, a, named));
      }
      if (s.spec.gang()) {
        unfit.add(s);
      }
    }
    return Optional.empty();
  }

  /** Returns a call that tells which runners may run a gang that does not fit at present. */
  private Optional<AdviceRequest> learn(double maxMillis) {
    for (Iterator<Step> i = unfit.iterator();
        i.hasNext() && learning.size() < MAX_LEARNING_CALLS; ) {
      Step s = i.next();
      Queue q = cell.queueOf(s);
      if (!mayAsk(s, q, 1, maxMillis)) {
        continue;
      }
      i.remove();
      List<Runner> unknown = new ArrayList<>();
      for (Runner r : cell.runners.values()) {
        String life = r.id() + r.born;
        boolean known = s.allowed.contains(life) || s.denied.contains(life);
        if (!known && placement.isUsable(r, s, q)) {
          unknown.add(r);
        }
      }
      if (!unknown.isEmpty()) {
        Advice a = q.advice().get();
        learning.add(s);
        return Optional.of(ask(s, a, unknown.subList(0, Math.min(unknown.size(), gangPart(a)))));
      }
    }
    return Optional.empty();
  }

  private boolean mayAsk(Step s, Queue q, int mostCalls, double maxMillis) {
    return q != null
        && q.advice().isPresent()
        && q.advice().get().decideMillis() <= maxMillis
        && s.asking < mostCalls
        && cell.now >= s.askAgainMillis;
  }

  private static AdviceRequest ask(Step s, Advice a, List<Runner> named) {
    s.asking++;
    named.forEach(r -> s.asked.put(r.id(), r.born));
    List<String> ids = named.stream().map(Runner::id).toList();
    return new AdviceRequest(s.key, ids, cost(a, ids.size()));
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
      boolean allowed = s.allowed.contains(r.id() + r.born);
      boolean denied = s.denied.contains(r.id() + r.born);
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
  private List<Runner> choose(Step s, Queue q, Advice a) {
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
      double part = allowedPart.getOrDefault(q.name(), FIRST_ALLOWED_PART);
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

  /** Asks ahead for a step whose predecessors are about to be done. */
  void askAhead(Step s) {
    Queue q = cell.queueOf(s);
    if (q == null || q.advice().isEmpty() || s.asking > 0 || !s.tickets.isEmpty()) {
      return;
    }
    double cost = cost(q.advice().get(), MIN_NAMED * 2);
    for (int before : s.spec.after()) {
      Step b = s.workflow.step(s.key.occurrence(), before);
      long expected = cell.times.expectedMillis(b);
      for (Task t : b.tasks) {
        boolean soon =
            t.done
                || t.run != null
                    && t.run.sentMillis > 0
                    && cell.now - t.run.sentMillis > expected - cost;
        if (!soon) {
          return;
        }
      }
    }
    ahead.add(s);
  }

  private static double cost(Advice a, int runners) {
    return a.decideMillis() + runners * a.perRunnerMillis();
  }

  /** Takes over an answer; {@code tickets} is null if the call failed. */
  void answered(Step s, List<String> named, Map<String, String> tickets, long validMillis) {
    s.asking--;
    learning.remove(s);
    final Map<String, Long> lives = new HashMap<>(s.asked);
    named.forEach(s.asked::remove);
    Queue q = cell.queueOf(s);
    boolean soon = q != null && q.priority() == 0 || s.spec.gang() && tickets != null;
    s.askAgainMillis = cell.now + (soon ? ASK_AGAIN_MILLIS : ASK_AGAIN_LATER_MILLIS);
    if (tickets == null || q == null) {
      return;
    }
    long until = cell.now + validMillis - EARLY_MILLIS;
    int fresh = 0;
    int freshAllowed = 0;
    for (String id : named) {
      Runner r = cell.runners.get(id);
      if (r == null || !Objects.equals(lives.get(id), r.born)) {
        // The next life of a runner may be of another kind.
        continue;
      }
      String ticket = tickets.get(id);
      if (ticket == null) {
        fresh += s.denied.add(id + r.born) ? 1 : 0;
      } else {
        boolean first = s.allowed.add(id + r.born);
        fresh += first ? 1 : 0;
        freshAllowed += first ? 1 : 0;
        s.tickets.put(id, new Step.Ticket(ticket, r.born, until));
      }
    }
    if (fresh > 0) {
      // A call that renews tickets tells nothing about other runners.
      double part = (double) freshAllowed / fresh;
      allowedPart.merge(q.name(), part, (a, b) -> a + GAIN * (b - a));
    }
    cell.note(
        Topic.ADVICE, "step", s.key.toString(), "named", named.size(), "allowed", tickets.size());
  }

  /** Forgets a ticket that a runner refused. */
  void refused(Step s, Runner r) {
    s.tickets.remove(r.id());
  }
}
