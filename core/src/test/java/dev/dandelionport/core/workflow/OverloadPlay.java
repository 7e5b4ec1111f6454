package dev.dandelionport.core.workflow;

import dev.dandelionport.core.admission.Refusal;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Plays callers against a scheduler in virtual time. Each workflow is one task of 8 cores and about
 * 1 s, due after 4 s. The pool has 8 runners of 20 cores, so it completes 16 workflows a second. A
 * refused caller returns at its time, up to four times, and some return early as well. Some callers
 * submit an accepted workflow again.
 */
final class OverloadPlay {

  private static final int MAX_RETURNS = 4;
  private static final long ALLOWED_MILLIS = 4_000;
  private static final ResourceVector TASK = new ResourceVector(0, 0, 8_000, 0, 0);
  private static final ResourceVector RUNNER = new ResourceVector(0, 0, 20_000, 32_000, 0);

  /** A call at a time; {@code refusals} counts the earlier refusals at the caller's time. */
  private record Call(long atMillis, long number, String id, String account, int refusals) {}

  private record End(long atMillis, WorkflowEffect.Start start) {}

  final WorkflowScheduler scheduler;
  final Map<String, Long> firstCallMillis = new LinkedHashMap<>();
  final Map<String, Long> acceptedMillis = new HashMap<>();
  final Map<String, List<Refusal>> refusals = new HashMap<>();

  /** Accepted workflows that were refused when they were submitted again. */
  final List<String> refusedAfterAcceptance = new ArrayList<>();

  final Set<String> startedIds = new HashSet<>();
  final Map<String, Long> completedMillis = new HashMap<>();
  long now = 1_000;
  private final Random random = new Random(7);
  private final PriorityQueue<Call> calls =
      new PriorityQueue<>(
          (a, b) ->
              a.atMillis() != b.atMillis()
                  ? Long.compare(a.atMillis(), b.atMillis())
                  : Long.compare(a.number(), b.number()));
  private final PriorityQueue<End> ends =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
  private final List<String> runners = new ArrayList<>();
  private long sequence;

  OverloadPlay(boolean admissionControl) {
    scheduler =
        new WorkflowScheduler(
            new WorkflowLimits(3_000, 200, 1, 2_000, 1_000_000, admissionControl, true, false));
    setTime();
    Map<String, Account> accounts = new HashMap<>();
    accounts.put("hot", new Account("hot", List.of("h"), 10, ResourceVector.ZERO));
    accounts.put("other", new Account("other", List.of("o"), 30, ResourceVector.ZERO));
    Queue batch =
        new Queue("batch", "host", "/", 3_000, 2_000, 2, "svc", 3, 2, Optional.empty(), false);
    scheduler.setPolicy(new ClusterPolicy(1, Map.of("batch", batch), Map.of(), accounts));
    List<RunnerDescription> list = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      String id = "r" + i;
      runners.add(id);
      list.add(new RunnerDescription(id, 1, "svc", id, "fd", RUNNER, List.of("rack"), false));
    }
    scheduler.setRunners(list);
    runners.forEach(r -> report(r, List.of()));
  }

  static WorkflowSpec spec(String id, String account, StepSpec step) {
    return new WorkflowSpec(id, "batch", account, "", List.of(step), Recurrence.ONCE, false);
  }

  static StepSpec step() {
    return StepSpecs.of(1, TASK, 1_000);
  }

  /** Adds the calls of an account for a period. */
  void arrivals(String account, double perSecond, long from, long until) {
    double t = from - Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    for (; t < until; t -= Math.log(1 - random.nextDouble()) * 1_000 / perSecond) {
      String id = account + sequence;
      firstCallMillis.put(id, (long) t);
      calls.add(new Call((long) t, sequence++, id, account, 0));
    }
  }

  void run(long until) {
    for (; now < until; now += 10) {
      setTime();
      while (!ends.isEmpty() && ends.peek().atMillis() <= now) {
        end(ends.poll().start());
      }
      while (!calls.isEmpty() && calls.peek().atMillis() <= now) {
        call(calls.poll());
      }
      scheduler.place();
      scheduler.takeDecision().effects().forEach(this::carryOut);
    }
  }

  private void setTime() {
    scheduler.setTime(now, 1_000_000 + now);
  }

  private void call(Call c) {
    WorkflowSpec spec = spec(c.id(), c.account(), step());
    Optional<Refusal> refusal = scheduler.refusalOf(spec);
    boolean known = acceptedMillis.containsKey(c.id());
    if (refusal.isEmpty()) {
      scheduler.submit(spec);
      if (!known) {
        acceptedMillis.put(c.id(), now);
        calls.add(new Call(now + 700, sequence++, c.id(), c.account(), c.refusals()));
      }
    } else if (known) {
      refusedAfterAcceptance.add(c.id());
    } else {
      handleRefusal(c, refusal.get());
    }
  }

  private void handleRefusal(Call c, Refusal r) {
    refusals.computeIfAbsent(c.id(), k -> new ArrayList<>()).add(r);
    if (r.early() || c.refusals() == MAX_RETURNS) {
      return;
    }
    int count = c.refusals() + 1;
    calls.add(new Call(r.returnMillis(), sequence++, c.id(), c.account(), count));
    if (random.nextInt(3) == 0) {
      long earlyMillis = (now + r.returnMillis()) / 2;
      calls.add(new Call(earlyMillis, sequence++, c.id(), c.account(), count));
    }
  }

  private void carryOut(WorkflowEffect e) {
    if (e instanceof WorkflowEffect.Start s
        && scheduler.prepareStart(s.task(), s.run(), s.runner()).isPresent()) {
      startedIds.add(s.task().workflow());
      scheduler.handleStartResult(s.task(), s.run(), s.runner(), StartResult.PRESENT);
      ends.add(new End(now + 900 + random.nextInt(200), s));
    } else if (e instanceof WorkflowEffect.PublishState p && p.state() == WorkflowState.COMPLETED) {
      completedMillis.put(p.workflow(), now);
    }
  }

  private void end(WorkflowEffect.Start s) {
    report(
        s.runner(), List.of(new RunnerReport.End(++sequence, s.task(), s.run(), RunEnd.DONE, "")));
  }

  private void report(String runner, List<RunnerReport.End> list) {
    // Sent long ago, so that runs that the report leaves out do not count as lost.
    scheduler.report(runner, new RunnerReport(1, now, List.of(), list, true), now - 100_000);
  }

  /** Returns the fraction of an account's workflows that end in time after their acceptance. */
  double servedInTime(String account) {
    int calls = 0;
    int inTime = 0;
    for (String id : firstCallMillis.keySet()) {
      if (id.startsWith(account)) {
        calls++;
        Long end = completedMillis.get(id);
        inTime += end != null && end - acceptedMillis.get(id) <= ALLOWED_MILLIS ? 1 : 0;
      }
    }
    return (double) inTime / calls;
  }

  /** Returns the number of accepted workflows that end after three times their allowed time. */
  long acceptedInVain() {
    return acceptedMillis.entrySet().stream()
        .filter(
            e ->
                completedMillis.getOrDefault(e.getKey(), Long.MAX_VALUE) - e.getValue()
                    > 3 * ALLOWED_MILLIS)
        .count();
  }
}
