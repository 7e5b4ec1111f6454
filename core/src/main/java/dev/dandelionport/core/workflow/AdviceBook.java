package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Decides when to ask which runners may run a step, and about which, and keeps the answers. */
final class AdviceBook {

  /** Most runners that one call may name. */
  private static final int MAX_NAMED = 100;

  /** Runners that are named at least, so that few calls come back without any. */
  private static final int MIN_NAMED = 6;

  /** How much more room is asked for than the step needs. */
  private static final double SPARE = 1.6;

  /** Part of the named runners that is allowed, before any answer of a queue is known. */
  private static final double FIRST_ALLOWED_PART = 0.4;

  private static final double GAIN = 0.1;

  /** Shortest time between two calls about a step of the first priority, in milliseconds. */
  private static final long ASK_AGAIN_MILLIS = 30;

  /** Shortest time between two calls about another step, in milliseconds. */
  private static final long ASK_AGAIN_LATER_MILLIS = 250;

  /** Time by which a ticket is taken to end early, in milliseconds. */
  private static final long EARLY_MILLIS = 30;

  private final Cell cell;
  private final Map<String, Double> allowedPart = new HashMap<>();

  /** Steps that want advice, the most urgent first. */
  private final Set<Step> wanted = new LinkedHashSet<>();

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
  }

  /** Notes that a step has tasks that were not placed. */
  void want(Step s) {
    wanted.add(s);
  }

  /** Returns the first call that can help and costs at most {@code maxMillis}. */
  Optional<AdviceRequest> next(double maxMillis) {
    for (Iterator<Step> i = wanted.iterator(); i.hasNext(); ) {
      Step s = i.next();
      Queue q = cell.queueOf(s);
      boolean may =
          q != null && q.advice().isPresent() && s.asking == 0 && cell.now >= s.askAgainMillis;
      if (!may || q.advice().get().decideMillis() > maxMillis) {
        continue;
      }
      i.remove();
      List<Runner> named = choose(s, q);
      if (!named.isEmpty()) {
        s.asking++;
        List<String> ids = named.stream().map(Runner::id).toList();
        return Optional.of(new AdviceRequest(s.key, ids, cost(q.advice().get(), ids.size())));
      }
    }
    return Optional.empty();
  }

  /** Returns the runners to ask about, none if the answer could not help now. */
  private List<Runner> choose(Step s, Queue q) {
    int needed = s.spec.gang() ? s.spec.tasks() : Math.max(1, s.startable(cell.now).size());
    List<Runner> known = new ArrayList<>();
    List<Runner> unknown = new ArrayList<>();
    int ticketed = 0;
    int knownRoom = 0;
    int unknownRoom = 0;
    for (Runner r : cell.runners.values()) {
      if (!placement.isUsable(r, s, q)) {
        continue;
      }
      int room = placement.copies(r, s, q);
      boolean allowed = s.allowed.contains(r.id() + r.born);
      if (placement.hasTicket(s, r)) {
        ticketed += room;
      } else if (allowed && room > 0) {
        known.add(r);
        knownRoom += room;
      } else if (!allowed && room > 0 && !s.denied.contains(r.id() + r.born)) {
        unknown.add(r);
        unknownRoom += room;
      }
    }
    if (ticketed >= needed) {
      return List.of();
    }
    int missing = needed - ticketed - knownRoom;
    double part = allowedPart.getOrDefault(q.name(), FIRST_ALLOWED_PART);
    if (s.spec.gang() && missing > 0 && part * unknownRoom < missing) {
      return List.of();
    }
    List<Runner> named = new ArrayList<>(enough(s, q, known, needed - ticketed));
    if (missing > 0 || !s.spec.gang() && ticketed + knownRoom < needed * SPARE) {
      named.addAll(fresh(s, q, unknown, missing));
    }
    return named;
  }

  /** Returns the best of the runners that may run a step, with room for some tasks and a few. */
  private List<Runner> enough(Step s, Queue q, List<Runner> known, int tasks) {
    known.sort(Comparator.comparingDouble(r -> placement.cost(s, r)));
    List<Runner> named = new ArrayList<>();
    double room = 0;
    for (Runner r : known) {
      if (room < tasks * SPARE && named.size() < MAX_NAMED) {
        named.add(r);
        room += placement.copies(r, s, q);
      }
    }
    return named;
  }

  /** Returns runners of which enough are likely to be allowed for some tasks. */
  private List<Runner> fresh(Step s, Queue q, List<Runner> unknown, int tasks) {
    unknown.sort(Comparator.comparingDouble(r -> placement.cost(s, r)));
    double part = allowedPart.getOrDefault(q.name(), FIRST_ALLOWED_PART);
    List<Runner> named = new ArrayList<>();
    double room = 0;
    for (Runner r : unknown) {
      boolean more = room < tasks * SPARE || named.size() < MIN_NAMED;
      if (more && named.size() < MAX_NAMED / 2) {
        named.add(r);
        room += part * placement.copies(r, s, q);
      }
    }
    return named;
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
    wanted.add(s);
  }

  private static double cost(Advice a, int runners) {
    return a.decideMillis() + runners * a.perRunnerMillis();
  }

  /** Takes over an answer; {@code tickets} is null if the call failed. */
  void answered(Step s, List<String> named, Map<String, String> tickets, long validMillis) {
    s.asking--;
    Queue q = cell.queueOf(s);
    boolean urgent = q != null && q.priority() == 0;
    s.askAgainMillis = cell.now + (urgent ? ASK_AGAIN_MILLIS : ASK_AGAIN_LATER_MILLIS);
    if (tickets == null || q == null) {
      return;
    }
    long until = cell.now + validMillis - EARLY_MILLIS;
    for (String id : named) {
      Runner r = cell.runners.get(id);
      if (r == null) {
        continue;
      }
      String ticket = tickets.get(id);
      if (ticket == null) {
        s.denied.add(id + r.born);
      } else {
        s.allowed.add(id + r.born);
        s.tickets.put(id, new Step.Ticket(ticket, r.born, until));
      }
    }
    double part = (double) tickets.size() / Math.max(1, named.size());
    double before = allowedPart.getOrDefault(q.name(), FIRST_ALLOWED_PART);
    allowedPart.put(q.name(), before + GAIN * (part - before));
    cell.note(
        Topic.ADVICE, "step", s.key.toString(), "named", named.size(), "allowed", tickets.size());
  }

  /** Forgets a ticket that a runner refused. */
  void refused(Step s, Runner r) {
    s.tickets.remove(r.id());
  }
}
