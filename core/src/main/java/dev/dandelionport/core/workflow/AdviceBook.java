package dev.dandelionport.core.workflow;

import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/** Decides when to ask which runners may run a step, and keeps the answers. */
final class AdviceBook {

  /** Most calls about one gang at a time. */
  private static final int MAX_GANG_CALLS = 8;

  /**
   * Most calls at a time about gangs that do not fit at present. Which runners are allowed never
   * changes, so that such a call saves others later.
   */
  private static final int MAX_LEARNING_CALLS = 2;

  /**
   * Shortest time from an answer to the next call about urgent steps and gangs, in milliseconds.
   */
  private static final long ASK_AGAIN_MILLIS = 30;

  /** Shortest time from an answer to the next call about another step, in milliseconds. */
  private static final long ASK_AGAIN_LATER_MILLIS = 250;

  /** Runners in a usual call that is made ahead. */
  private static final int FEW_RUNNERS = 12;

  /** Time by which a ticket is taken to end early, in milliseconds. */
  private static final long EARLY_MILLIS = 30;

  private final Cell cell;

  /** Steps that want advice, the most urgent first. */
  private final Set<Step> wanted = new LinkedHashSet<>();

  /** Steps whose predecessors are about to be done. */
  private final Set<Step> ahead = new LinkedHashSet<>();

  /** Gangs that do not fit at present, whatever runners are allowed. */
  private final Set<Step> unfit = new LinkedHashSet<>();

  /** Gangs about which a call is under way that cannot help at present. */
  private final Set<Step> learning = new HashSet<>();

  private AdviceChoice choice;

  AdviceBook(Cell cell) {
    this.cell = cell;
  }

  void use(Placement p) {
    choice = new AdviceChoice(cell, p);
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

  /** Returns the part of a queue's named runners that is expected to be allowed. */
  double allowedPart(Queue q) {
    return choice.allowedPart(q);
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
      List<Runner> named = choice.helpful(s, q, a);
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
      Advice a = q.advice().get();
      List<Runner> named = choice.unknown(s, q, a);
      if (!named.isEmpty()) {
        learning.add(s);
        return Optional.of(ask(s, a, named));
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
    return new AdviceRequest(s.key, ids, AdviceChoice.cost(a, ids.size()));
  }

  /** Asks ahead for a step whose predecessors are about to be done. */
  void askAhead(Step s) {
    Queue q = cell.queueOf(s);
    if (q == null || q.advice().isEmpty() || s.asking > 0 || !s.tickets.isEmpty()) {
      return;
    }
    double cost = AdviceChoice.cost(q.advice().get(), FEW_RUNNERS);
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
        fresh += s.denied.add(r.life()) ? 1 : 0;
      } else {
        boolean first = s.allowed.add(r.life());
        fresh += first ? 1 : 0;
        freshAllowed += first ? 1 : 0;
        s.tickets.put(id, new Step.Ticket(ticket, r.born, until));
      }
    }
    if (fresh > 0) {
      // A call that renews tickets tells nothing about other runners.
      choice.learn(q, (double) freshAllowed / fresh);
    }
    cell.note(
        Topic.ADVICE, "step", s.key.toString(), "named", named.size(), "allowed", tickets.size());
  }

  /** Forgets a ticket that a runner refused. */
  void refused(Step s, Runner r) {
    s.tickets.remove(r.id());
  }
}
