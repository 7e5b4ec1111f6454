package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Decides when to ask which runners may run a step, and about which, and keeps the answers. */
final class AdviceBook {

  /** Most runners that one call may name. */
  static final int MAX_NAMED = 100;

  /** Runners that are named at least, so that few calls come back without any. */
  private static final int MIN_NAMED = 6;

  /** How much more room is asked for than the step needs. */
  private static final double SPARE = 1.6;

  /** Part of the named runners that is allowed, before any answer of a queue is known. */
  private static final double FIRST_ALLOWED_PART = 0.4;

  private static final double GAIN = 0.1;

  /** Wait after a call that failed or allowed nothing new, in milliseconds. */
  private static final long ASK_AGAIN_MILLIS = 60;

  /** Time by which a ticket is taken to end early, in milliseconds. */
  private static final long EARLY_MILLIS = 30;

  private final Cell cell;
  private final Map<String, Double> allowedPart = new HashMap<>();
  private Placement placement;

  AdviceBook(Cell cell) {
    this.cell = cell;
  }

  void use(Placement p) {
    placement = p;
  }

  /** Asks about runners for the waiting tasks of a step, if that can help now. */
  void want(Step s, Queue q) {
    if (q.advice().isEmpty() || s.asking > 0 || cell.now < s.askAgainMillis) {
      return;
    }
    int needed = s.spec.gang() ? s.spec.tasks() : s.startable(cell.now).size();
    needed = Math.max(1, needed);
    List<Runner> known = new ArrayList<>();
    List<Runner> unknown = new ArrayList<>();
    int ticketed = 0;
    int knownRoom = 0;
    int unknownRoom = 0;
    for (Runner r : cell.runners.values()) {
      int room = placement.isUsable(r, s, q) ? placement.copies(r, s, q) : 0;
      if (room == 0) {
        continue;
      }
      if (placement.hasTicket(s, r)) {
        ticketed += room;
      } else if (s.allowed.contains(r.id() + r.born)) {
        known.add(r);
        knownRoom += room;
      } else if (!s.denied.contains(r.id() + r.born)) {
        unknown.add(r);
        unknownRoom += room;
      }
    }
    if (ticketed >= needed || known.isEmpty() && unknown.isEmpty()) {
      return;
    }
    if (s.spec.gang() && ticketed + knownRoom + unknownRoom < needed) {
      return;
    }
    known.sort(Comparator.comparingDouble(r -> placement.cost(s, r)));
    List<Runner> named = new ArrayList<>();
    double room = ticketed;
    for (Runner r : known) {
      if (room < needed * SPARE && named.size() < MAX_NAMED) {
        named.add(r);
        room += placement.copies(r, s, q);
      }
    }
    double part = allowedPart.getOrDefault(q.name(), FIRST_ALLOWED_PART);
    unknown.sort(Comparator.comparingDouble(r -> placement.cost(s, r)));
    int fresh = 0;
    for (Runner r : unknown) {
      boolean enough = room >= needed * SPARE && fresh >= MIN_NAMED;
      if (!enough && room < needed * SPARE && named.size() < MAX_NAMED) {
        named.add(r);
        fresh++;
        room += part * placement.copies(r, s, q);
      }
    }
    ask(s, q, named);
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
    want(s, q);
  }

  private void ask(Step s, Queue q, List<Runner> named) {
    if (named.isEmpty()) {
      return;
    }
    s.asking++;
    List<String> ids = named.stream().map(Runner::id).toList();
    double cost = cost(q.advice().get(), ids.size());
    cell.effect(new WorkflowEffect.Ask(s.key, ids, q.priority() == 0, cost));
  }

  private static double cost(Advice a, int runners) {
    return a.decideMillis() + runners * a.perRunnerMillis();
  }

  /** Takes over an answer; {@code tickets} is null if the call failed. */
  void answered(Step s, List<String> named, Map<String, String> tickets, long validMillis) {
    s.asking--;
    Queue q = cell.queueOf(s);
    if (tickets == null || q == null) {
      s.askAgainMillis = cell.now + ASK_AGAIN_MILLIS;
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
    allowedPart.merge(q.name(), part, (a, b) -> a + GAIN * (b - a));
    cell.note(
        Topic.ADVICE, "step", s.key.toString(), "named", named.size(), "allowed", tickets.size());
  }

  /** Forgets a ticket that a runner refused. */
  void refused(Step s, Runner r) {
    s.tickets.remove(r.id());
  }
}
