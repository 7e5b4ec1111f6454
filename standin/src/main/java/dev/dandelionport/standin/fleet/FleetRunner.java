package dev.dandelionport.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * State of one life of a runner: fences, leases and ends. Not thread-safe; time is passed in. A
 * payload of the form {@code fail} makes each run fail, one of digits gives its time in
 * milliseconds.
 */
public final class FleetRunner {

  /** Longest time for which leases are granted, in milliseconds. */
  static final long MAX_LEASE_MILLIS = 6_000;

  private static final long DEFAULT_RUN_MILLIS = 5;

  /** A run that is present. */
  public record ActiveRun(String task, int run, long endsMillis, boolean fails) {}

  /** A run that ended. */
  public record FinishedRun(long number, String task, int run, String outcome) {}

  private final ToLongFunction<String> runMillis;
  private final Map<String, ActiveRun> active = new LinkedHashMap<>();
  private final Map<String, Integer> maxClosedRun = new HashMap<>();
  private final List<FinishedRun> unacknowledged = new ArrayList<>();
  private long highestToken;
  private long leaseEndMillis;
  private long lastEndNumber;

  /** Creates a runner whose payloads say how long they run. */
  public FleetRunner() {
    this(FleetRunner::parseRunMillis);
  }

  FleetRunner(ToLongFunction<String> runMillis) {
    this.runMillis = runMillis;
  }

  private static long parseRunMillis(String payload) {
    return payload.matches("[0-9]{1,6}") ? Long.parseLong(payload) : DEFAULT_RUN_MILLIS;
  }

  /** Returns whether a token is too low, and notes a higher one. */
  public boolean isFenced(long newToken) {
    highestToken = Math.max(highestToken, newToken);
    return newToken < highestToken;
  }

  /** Starts a run; returns why it was refused, if it was. */
  public Optional<String> start(String task, int run, String payload, long until, long now) {
    endDueRuns(now);
    extendLeaseEnd(until, now);
    ActiveRun p = active.get(task);
    if (p != null && p.run() == run) {
      return Optional.empty();
    }
    if (run <= maxClosedRun.getOrDefault(task, 0) || p != null) {
      return Optional.of("old");
    }
    if (until <= now) {
      return Optional.of("late");
    }
    boolean fails = payload.equals("fail");
    active.put(task, new ActiveRun(task, run, now + runMillis.applyAsLong(payload), fails));
    return Optional.empty();
  }

  /** Stops a run and refuses its start from now on. */
  public void stop(String task, int run, long now) {
    endDueRuns(now);
    ActiveRun p = active.get(task);
    maxClosedRun.merge(task, run, Math::max);
    if (p != null && p.run() <= run) {
      finish(p, "stopped");
    }
  }

  /** Extends leases and forgets acknowledged ends. */
  public void extendLeases(long until, long acked, long now) {
    endDueRuns(now);
    extendLeaseEnd(until, now);
    unacknowledged.removeIf(e -> e.number() <= acked);
  }

  private void extendLeaseEnd(long until, long now) {
    leaseEndMillis = Math.max(leaseEndMillis, Math.min(until, now + MAX_LEASE_MILLIS));
  }

  /** Ends what is over by now. */
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
    maxClosedRun.merge(p.task(), p.run(), Math::max);
    unacknowledged.add(new FinishedRun(++lastEndNumber, p.task(), p.run(), outcome));
  }

  /** Returns the runs that are present. */
  public List<ActiveRun> activeRuns() {
    return List.copyOf(active.values());
  }

  /** Returns the ends that were not acknowledged. */
  public List<FinishedRun> finishedRuns() {
    return List.copyOf(unacknowledged);
  }
}
