package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.port.RunnerClient;
import dev.dandelionport.core.port.WorkerException;
import dev.dandelionport.core.testing.VirtualTime;
import dev.dandelionport.core.workflow.RunEnd;
import dev.dandelionport.core.workflow.RunnerReport;
import dev.dandelionport.core.workflow.StartOrder;
import dev.dandelionport.core.workflow.StartResult;
import dev.dandelionport.core.workflow.TaskKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Fake runners in virtual time. Collects violated invariants instead of failing immediately. */
final class FakeRunners {

  /** Maximum number of tasks that a runner can hold at the same time. */
  static final int TASK_CAPACITY = 4;

  private static final long RUN_MILLIS = 400;
  private static final long MAX_HOLD_MILLIS = 6_000;

  /** Maximum number of ends in a report; the others follow once these are acknowledged. */
  private static final int MAX_REPORTED_ENDS = 2;

  /**
   * Time after which a hold call fails if its runner is disconnected while the call waits, in
   * milliseconds.
   */
  private static final long CUT_TIMEOUT_MILLIS = 400;

  private record ActiveRun(int run, long endsMillis) {}

  private static final class State {
    final Map<TaskKey, ActiveRun> running = new LinkedHashMap<>();
    final Map<TaskKey, Integer> highestEndedRun = new HashMap<>();
    final List<RunnerReport.End> ends = new ArrayList<>();

    /**
     * Numbers of the ends before the latest expiry of the lease. An owner may have started their
     * tasks elsewhere since, so acknowledging them does not forbid another start.
     */
    final Set<Long> endsBeforeLeaseExpiry = new HashSet<>();

    long incarnation = 1;
    long token;
    long leaseUntilMillis;
    long lastEndNumber;

    /** Time at which the clock of the current incarnation showed 0. */
    long clockStartMillis;
  }

  private final VirtualTime time;
  private final Map<String, State> runners = new HashMap<>();
  private final Set<TaskKey> acknowledgedDone = new HashSet<>();
  final List<String> violations = new ArrayList<>();
  final Set<String> cutLinks = new HashSet<>();
  double lateFraction;
  int starts;

  /** Number of stops sent for each task, including those without an answer. */
  final Map<TaskKey, Integer> stopsSent = new TreeMap<>(Comparator.comparing(TaskKey::toString));

  /** Number of hold calls sent to each runner, including those without an answer. */
  final Map<String, Integer> holdsSent = new TreeMap<>();

  /** Highest number of orders in flight to one runner at the same time. */
  int maxConcurrentOrders;

  private final Map<String, Integer> ordersInFlight = new HashMap<>();

  /** Told the id of each runner that has restarted. */
  Consumer<String> restartListener = id -> {};

  FakeRunners(VirtualTime time, int count) {
    this.time = time;
    for (int i = 0; i < count; i++) {
      runners.put("r" + i, new State());
    }
  }

  /** Ends all runs on a runner and starts a new incarnation of it. */
  void crash(String id) {
    State s = runners.get(id);
    s.running.clear();
    s.highestEndedRun.clear();
    s.ends.clear();
    s.endsBeforeLeaseExpiry.clear();
    s.incarnation++;
    s.token = 0;
    s.leaseUntilMillis = 0;
    s.lastEndNumber = 0;
    s.clockStartMillis = time.nowMillis();
    restartListener.accept(id);
  }

  /** Returns the current incarnation of a runner. */
  long incarnation(String id) {
    return runners.get(id).incarnation;
  }

  private long clockMillis(State s) {
    return time.nowMillis() - s.clockStartMillis;
  }

  /** Returns the runners that have active runs. */
  List<String> busyRunners() {
    return runners.keySet().stream()
        .filter(id -> !runners.get(id).running.isEmpty())
        .sorted()
        .toList();
  }

  private void advance(State s) {
    long now = time.nowMillis();
    for (TaskKey t : List.copyOf(s.running.keySet())) {
      ActiveRun active = s.running.get(t);
      if (active.endsMillis() <= Math.min(now, s.leaseUntilMillis)) {
        end(s, t, active.run(), RunEnd.DONE);
      } else if (s.leaseUntilMillis <= now) {
        end(s, t, active.run(), RunEnd.LAPSED);
      }
    }
    if (s.leaseUntilMillis <= now) {
      s.ends.forEach(e -> s.endsBeforeLeaseExpiry.add(e.number()));
    }
  }

  private void end(State s, TaskKey t, int run, RunEnd outcome) {
    s.running.remove(t);
    s.highestEndedRun.merge(t, run, Math::max);
    s.ends.add(new RunnerReport.End(++s.lastEndNumber, t, run, outcome, ""));
  }

  /**
   * Extends the leases up to a time on the runner's clock; {@link RunnerClient#NO_TIME} is earlier
   * than any time and changes nothing.
   */
  private void extendLease(State s, long untilMillis) {
    long limitedMillis = Math.min(untilMillis, clockMillis(s) + MAX_HOLD_MILLIS);
    s.leaseUntilMillis = Math.max(s.leaseUntilMillis, limitedMillis + s.clockStartMillis);
  }

  private StartResult start(String id, StartOrder o, long leaseUntilMillis, long token) {
    State s = runners.get(id);
    runners.values().forEach(this::advance);
    if (token < s.token) {
      return StartResult.FENCED;
    }
    s.token = token;
    extendLease(s, leaseUntilMillis);
    ActiveRun active = s.running.get(o.task());
    if (active != null && active.run() == o.run()) {
      return StartResult.PRESENT;
    }
    if (o.run() <= s.highestEndedRun.getOrDefault(o.task(), 0) || active != null) {
      return StartResult.OLD;
    }
    if (leaseUntilMillis <= clockMillis(s)) {
      return StartResult.LATE;
    }
    starts++;
    checkStart(id, o);
    s.running.put(o.task(), new ActiveRun(o.run(), time.nowMillis() + RUN_MILLIS));
    return StartResult.PRESENT;
  }

  private void checkStart(String id, StartOrder o) {
    String start = time.nowMillis() + " " + o.task() + " run " + o.run() + " on " + id;
    runners.forEach(
        (other, s) -> {
          if (s.running.containsKey(o.task())) {
            violations.add(start + ": runs on runner " + other + " as well");
          }
        });
    if (acknowledgedDone.contains(o.task())) {
      violations.add(start + ": its end as done was acknowledged");
    }
    if (runners.get(id).running.size() >= TASK_CAPACITY) {
      violations.add(start + ": exceeds the task capacity");
    }
  }

  /** Returns a client for the calls of one instance; {@code process} runs their completions. */
  RunnerClient client(String caller, Consumer<Runnable> process) {
    return new RunnerClient() {
      private <T> CompletableFuture<T> call(
          String id, boolean order, long timeout, Supplier<T> action) {
        CompletableFuture<T> f = new CompletableFuture<>();
        CompletableFuture<T> result = f;
        if (order) {
          maxConcurrentOrders =
              Math.max(maxConcurrentOrders, ordersInFlight.merge(id, 1, Integer::sum));
          result = f.whenComplete((x, e) -> ordersInFlight.merge(id, -1, Integer::sum));
        }
        boolean late = order && time.random().nextDouble() < lateFraction;
        Runnable noAnswer = noAnswer(f);
        if (isCut(id)) {
          time.afterMillis(timeout, noAnswer);
        } else if (late) {
          // An order that is delayed inside a runner is lost when the runner restarts.
          State s = runners.get(id);
          long startIncarnation = s.incarnation;
          time.afterMillis(
              2_000 + time.random().nextInt(5_000),
              () -> {
                if (s.incarnation == startIncarnation) {
                  action.get();
                }
              });
          time.afterMillis(timeout, noAnswer);
        } else {
          time.afterNanos(
              time.latencyNanos(3),
              () -> {
                T value = action.get();
                time.afterNanos(
                    time.latencyNanos(3), () -> process.accept(() -> f.complete(value)));
              });
        }
        return result;
      }

      @Override
      public CompletableFuture<StartAnswer> start(
          Address to, StartOrder order, long until, long token, long timeout) {
        return call(
            to.runner(),
            true,
            timeout,
            () ->
                new StartAnswer(
                    FakeRunners.this.start(to.runner(), order, until, token),
                    clockMillis(runners.get(to.runner()))));
      }

      @Override
      public CompletableFuture<Boolean> stop(
          Address to, TaskKey task, int run, long token, long timeout) {
        stopsSent.merge(task, 1, Integer::sum);
        return call(
            to.runner(),
            true,
            timeout,
            () -> {
              State s = runners.get(to.runner());
              advance(s);
              if (token < s.token) {
                return false;
              }
              s.token = token;
              s.highestEndedRun.merge(task, run, Math::max);
              ActiveRun p = s.running.get(task);
              if (p != null && p.run() <= run) {
                end(s, task, p.run(), RunEnd.STOPPED);
              }
              return true;
            });
      }

      @Override
      public CompletableFuture<HoldAnswer> hold(
          Address to, long token, long acked, long until, long wait, long timeout) {
        holdsSent.merge(to.runner(), 1, Integer::sum);
        CompletableFuture<HoldAnswer> f = new CompletableFuture<>();
        long deadline = time.nowMillis() + wait;
        call(to.runner(), false, timeout, () -> handleHold(to.runner(), token, acked, until))
            .whenComplete(
                (fenced, e) -> {
                  if (e != null) {
                    f.completeExceptionally(e);
                  } else if (fenced) {
                    f.complete(new HoldAnswer(true, null));
                  } else {
                    pollForEnds(to.runner(), deadline, f);
                  }
                });
        return f;
      }

      private Runnable noAnswer(CompletableFuture<?> f) {
        return () ->
            process.accept(() -> f.completeExceptionally(new WorkerException("no answer", null)));
      }

      private boolean isCut(String id) {
        return cutLinks.contains(id) || cutLinks.contains(caller + ">" + id);
      }

      private void pollForEnds(String id, long deadline, CompletableFuture<HoldAnswer> f) {
        if (isCut(id)) {
          time.afterMillis(CUT_TIMEOUT_MILLIS, noAnswer(f));
          return;
        }
        State s = runners.get(id);
        advance(s);
        if (s.ends.isEmpty() && time.nowMillis() < deadline) {
          time.afterMillis(10, () -> pollForEnds(id, deadline, f));
          return;
        }
        List<RunnerReport.Running> running = new ArrayList<>();
        s.running.forEach((t, p) -> running.add(new RunnerReport.Running(t, p.run(), "", 100, 1)));
        List<RunnerReport.End> ends = s.ends.stream().limit(MAX_REPORTED_ENDS).toList();
        RunnerReport r =
            new RunnerReport(
                s.incarnation, clockMillis(s), running, ends, ends.size() < MAX_REPORTED_ENDS);
        process.accept(() -> f.complete(new HoldAnswer(false, r)));
      }
    };
  }

  private boolean handleHold(String id, long token, long acked, long leaseUntilMillis) {
    State s = runners.get(id);
    advance(s);
    if (token < s.token) {
      return true;
    }
    s.token = token;
    extendLease(s, leaseUntilMillis);
    for (RunnerReport.End e : List.copyOf(s.ends)) {
      if (e.number() <= acked) {
        s.ends.remove(e);
        if (e.outcome() == RunEnd.DONE && !s.endsBeforeLeaseExpiry.contains(e.number())) {
          acknowledgedDone.add(e.task());
        }
      }
    }
    return false;
  }
}
