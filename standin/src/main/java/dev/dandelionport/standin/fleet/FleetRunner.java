package dev.dandelionport.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * State of one incarnation of a runner: its fencing token, leases, active and finished runs. Not
 * thread-safe; callers pass the current time in. The payload {@code fail} makes a run fail; a
 * payload of up to six digits is the duration of the run in milliseconds.
 */
public final class FleetRunner {

  /** Maximum time for which leases are granted, in milliseconds. */
  static final long MAX_LEASE_MILLIS = 6_000;

  private static final long DEFAULT_RUN_MILLIS = 5;

  private static final int MAX_LISTED_FINISHED_RUNS = 500;

  /** A run that has not ended. */
  public record ActiveRun(String task, int run, long endsMillis, boolean fails) {}

  /** A run that has ended, with a number by which it is acknowledged. */
  public record FinishedRun(long number, String task, int run, String outcome) {}

  private final ToLongFunction<String> runDurationMillis;
  private final RunListener listener;
  private final Map<String, ActiveRun> active = new LinkedHashMap<>();
  private final Map<String, Integer> highestClosedRun = new HashMap<>();
  private final List<FinishedRun> unacknowledged = new ArrayList<>();
  private long highestToken;
  private long leaseEndMillis;
  private long lastFinishedNumber;

  /** Creates a runner that takes the duration of a run from its payload. */
  public FleetRunner() {
    this(FleetRunner::parseRunMillis);
  }

  /** Creates a runner that takes the duration of a run from its payload and reports its runs. */
  FleetRunner(RunListener listener) {
    this(FleetRunner::parseRunMillis, listener);
  }

  FleetRunner(ToLongFunction<String> runDurationMillis) {
    this(runDurationMillis, (change, task, run) -> {});
  }

  private FleetRunner(ToLongFunction<String> runDurationMillis, RunListener listener) {
    this.runDurationMillis = runDurationMillis;
    this.listener = listener;
  }

  private static long parseRunMillis(String payload) {
    return payload.matches("[0-9]{1,6}") ? Long.parseLong(payload) : DEFAULT_RUN_MILLIS;
  }

  /** Returns whether a token is lower than the highest one seen, and records a higher one. */
  public boolean isFenced(long newToken) {
    highestToken = Math.max(highestToken, newToken);
    return newToken < highestToken;
  }

  /** Starts a run; returns the reason if it is refused, otherwise empty. */
  public Optional<String> start(String task, int run, String payload, long until, long now) {
    endDueRuns(now);
    extendLeaseEnd(until, now);
    ActiveRun p = active.get(task);
    if (p != null && p.run() == run) {
      return Optional.empty();
    }
    if (run <= highestClosedRun.getOrDefault(task, 0) || p != null) {
      return Optional.of("old");
    }
    if (until <= now) {
      return Optional.of("late");
    }
    boolean fails = payload.equals("fail");
    active.put(task, new ActiveRun(task, run, now + runDurationMillis.applyAsLong(payload), fails));
    listener.runChanged("started", task, run);
    return Optional.empty();
  }

  /** Stops a run and any earlier run of its task, and refuses to start them from now on. */
  public void stop(String task, int run, long now) {
    endDueRuns(now);
    ActiveRun p = active.get(task);
    highestClosedRun.merge(task, run, Math::max);
    if (p != null && p.run() <= run) {
      finish(p, "stopped");
    }
  }

  /** Extends the leases and drops the finished runs up to number {@code acked}. */
  public void extendLeases(long until, long acked, long now) {
    endDueRuns(now);
    extendLeaseEnd(until, now);
    unacknowledged.removeIf(e -> e.number() <= acked);
  }

  private void extendLeaseEnd(long until, long now) {
    leaseEndMillis = Math.max(leaseEndMillis, Math.min(until, now + MAX_LEASE_MILLIS));
  }

  /** Ends the runs that have completed by {@code now} and those whose lease has expired. */
  public void endDueRuns(long now) {
    for (ActiveRun p : List.copyOf(active.values())) {
      if (p.endsMillis() <= Math.min(now, leaseEndMillis)) {
        finish(p, p.fails() ? "failed" : "done");
      } else if (leaseEndMillis <= now) {
        finish(p, "lapsed");
      }
    }
  }

  private void finish(ActiveRun p, String outcome) {
    active.remove(p.task());
    highestClosedRun.merge(p.task(), p.run(), Math::max);
    unacknowledged.add(new FinishedRun(++lastFinishedNumber, p.task(), p.run(), outcome));
    listener.runChanged(outcome, p.task(), p.run());
  }

  /** Returns the runs that have not ended. */
  public List<ActiveRun> activeRuns() {
    return List.copyOf(active.values());
  }

  /** Returns the first 500 of the finished runs that have not been acknowledged. */
  public List<FinishedRun> finishedRuns() {
    return unacknowledged.stream().limit(MAX_LISTED_FINISHED_RUNS).toList();
  }
}
