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

/**
 * Decides which steps need a call to the advice service, which answers on which runners a step may
 * run, and keeps the answers.
 */
final class AdviceTracker {

  /** Maximum number of concurrent calls for one gang. */
  private static final int MAX_GANG_CALLS = 8;

  /**
   * Maximum number of concurrent discovery calls. These find allowed runners for gangs that
   * currently do not fit. The set of allowed runners of a step never changes, so such a call saves
   * another one later.
   */
  private static final int MAX_DISCOVERY_CALLS = 2;

  /** Minimum time from an answer to the next call for an urgent step or a gang, in milliseconds. */
  private static final long CALL_INTERVAL_MILLIS = 30;

  /** Minimum time from an answer to the next call for any other step, in milliseconds. */
  private static final long LONG_CALL_INTERVAL_MILLIS = 250;

  /** Typical number of runners in a prefetch call. */
  private static final int PREFETCH_RUNNERS = 12;

  /** Time before its expiry from which a ticket is no longer used, in milliseconds. */
  private static final long EXPIRY_MARGIN_MILLIS = 30;

  private final CellState cell;

  /** Steps that need advice, in the order of the placement. */
  private final StepsByQueue requested = new StepsByQueue();

  /** Steps whose dependencies are about to be done. */
  private final StepsByQueue prefetchSteps = new StepsByQueue();

  /** Gangs that currently do not fit even if all runners without advice are allowed. */
  private final Set<Step> gangsWithoutCapacity = new LinkedHashSet<>();

  /** Gangs with a pending discovery call. */
  private final Set<Step> discovering = new HashSet<>();

  /** Number of pending calls by queue. */
  private final Map<String, Integer> pendingCalls = new HashMap<>();

  private AdviceRunnerSelector selector;

  AdviceTracker(CellState cell) {
    this.cell = cell;
  }

  void setPlacement(Placement p) {
    selector = new AdviceRunnerSelector(cell, p);
  }

  /** Clears the steps that need advice; each placement pass adds them again. */
  void clearRequested() {
    requested.clear();
    gangsWithoutCapacity.clear();
  }

  /** Clears the steps to prefetch advice for; each tick adds them again. */
  void clearPrefetchSteps() {
    prefetchSteps.clear();
  }

  /** Requests advice for a step with tasks that were not placed. */
  void request(Step s) {
    requested.add(s);
  }

  /** Returns the fraction of named runners that is expected to be allowed for a queue. */
  double allowedFraction(Queue q) {
    return selector.allowedFraction(q);
  }

  /**
   * Returns the next call of a queue whose fixed call time is at most {@code maxMillis}: first for
   * steps that wait, then prefetches, then for gangs without capacity. Urgent queues go first; of
   * the others, the one with the fewest pending calls. Slow calls of one queue therefore leave
   * instances to the others, whatever their priority.
   */
  Optional<AdviceRequest> next(double maxMillis) {
    return next(requested, maxMillis)
        .or(() -> next(prefetchSteps, maxMillis))
        .or(() -> nextDiscovery(maxMillis));
  }

  private Optional<AdviceRequest> next(StepsByQueue steps, double maxMillis) {
    for (Set<Step> ofQueue : steps.inOrder(this::pendingCallsOf)) {
      Optional<AdviceRequest> call = nextOfQueue(ofQueue, maxMillis);
      if (call.isPresent()) {
        return call;
      }
    }
    return Optional.empty();
  }

  private int pendingCallsOf(String queue) {
    return pendingCalls.getOrDefault(queue, 0);
  }

  private Optional<AdviceRequest> nextOfQueue(Set<Step> steps, double maxMillis) {
    for (Iterator<Step> i = steps.iterator(); i.hasNext(); ) {
      Step s = i.next();
      Queue q = cell.queueOf(s);
      int maxCalls = s.spec.gang() ? MAX_GANG_CALLS : 1;
      if (!mayCall(s, q, maxCalls, maxMillis)) {
        continue;
      }
      Advice a = q.advice().get();
      List<Runner> runners = selector.selectRunners(s, q, a);
      if (runners.isEmpty() || !s.spec.gang()) {
        i.remove();
      }
      if (!runners.isEmpty()) {
        return Optional.of(startCall(s, a, runners));
      }
      if (s.spec.gang()) {
        gangsWithoutCapacity.add(s);
      }
    }
    return Optional.empty();
  }

  /** Returns a discovery call for a gang that currently does not fit. */
  private Optional<AdviceRequest> nextDiscovery(double maxMillis) {
    for (Iterator<Step> i = gangsWithoutCapacity.iterator();
        i.hasNext() && discovering.size() < MAX_DISCOVERY_CALLS; ) {
      Step s = i.next();
      Queue q = cell.queueOf(s);
      if (!mayCall(s, q, 1, maxMillis)) {
        continue;
      }
      i.remove();
      Advice a = q.advice().get();
      List<Runner> runners = selector.selectUndecided(s, q, a);
      if (!runners.isEmpty()) {
        discovering.add(s);
        return Optional.of(startCall(s, a, runners));
      }
    }
    return Optional.empty();
  }

  private boolean mayCall(Step s, Queue q, int maxCalls, double maxMillis) {
    return q != null
        && q.advice().isPresent()
        && q.advice().get().decideMillis() <= maxMillis
        && s.pendingAdviceCalls < maxCalls
        && cell.now >= s.nextAdviceMillis;
  }

  private AdviceRequest startCall(Step s, Advice a, List<Runner> runners) {
    s.pendingAdviceCalls++;
    pendingCalls.merge(s.workflow.spec.queue(), 1, Integer::sum);
    runners.forEach(r -> s.pendingAdviceRunners.put(r.id(), r.current().id));
    List<String> ids = runners.stream().map(Runner::id).toList();
    return new AdviceRequest(s.key, ids, AdviceRunnerSelector.callMillis(a, ids.size()));
  }

  /** Requests advice early for a step whose dependencies are about to be done. */
  void prefetch(Step s) {
    Queue q = cell.queueOf(s);
    if (q == null || q.advice().isEmpty() || s.pendingAdviceCalls > 0 || !s.tickets.isEmpty()) {
      return;
    }
    double callMillis = AdviceRunnerSelector.callMillis(q.advice().get(), PREFETCH_RUNNERS);
    for (int dependency : s.spec.dependencies()) {
      Step preceding = s.workflow.step(s.key.occurrence(), dependency);
      long expected = cell.runTimes.expectedMillis(preceding);
      for (Task t : preceding.tasks) {
        boolean nearlyDone =
            t.done
                || t.run != null
                    && t.run.startSentMillis > 0
                    && cell.now - t.run.startSentMillis > expected - callMillis;
        if (!nearlyDone) {
          return;
        }
      }
    }
    prefetchSteps.add(s);
  }

  /** Handles an answer; {@code tickets} is null if the call failed. */
  void handleAnswer(
      Step s, List<String> requestedRunners, Map<String, String> tickets, long validMillis) {
    s.pendingAdviceCalls--;
    pendingCalls.merge(s.workflow.spec.queue(), -1, Integer::sum);
    discovering.remove(s);
    List<IncarnationId> incarnations =
        requestedRunners.stream()
            .map(s.pendingAdviceRunners::remove)
            .filter(Objects::nonNull)
            .toList();
    Queue q = cell.queueOf(s);
    boolean shortInterval = q != null && q.priority() == 0 || s.spec.gang() && tickets != null;
    s.nextAdviceMillis =
        cell.now + (shortInterval ? CALL_INTERVAL_MILLIS : LONG_CALL_INTERVAL_MILLIS);
    if (tickets == null || q == null) {
      return;
    }
    long validUntilMillis = cell.now + validMillis - EXPIRY_MARGIN_MILLIS;
    int newDecisions = 0;
    int newlyAllowed = 0;
    // The answer applies to the incarnations that were named, whichever are current by now.
    for (IncarnationId id : incarnations) {
      String ticket = tickets.get(id.runner());
      if (ticket == null) {
        newDecisions += s.denied.add(id) ? 1 : 0;
      } else {
        boolean added = s.allowed.add(id);
        newDecisions += added ? 1 : 0;
        newlyAllowed += added ? 1 : 0;
        s.tickets.put(id, new Step.Ticket(ticket, validUntilMillis));
      }
    }
    if (newDecisions > 0) {
      // Renewed tickets do not count: they say nothing about the fraction of other runners.
      selector.recordAllowedFraction(q, (double) newlyAllowed / newDecisions);
    }
    cell.log(
        Topic.ADVICE,
        "step",
        s.key.toString(),
        "named",
        requestedRunners.size(),
        "allowed",
        tickets.size());
  }
}
