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
  static final long MAX_HOLD_MILLIS = 6_000;

  private static final long DEFAULT_RUN_MILLIS = 5;

  /** A run that is present. */
  public record Present(String task, int run, long endsMillis, boolean fails) {}

  /** A run that ended. */
  public record End(long number, String task, int run, String how) {}

  private final ToLongFunction<String> runMillis;
  private final Map<String, Present> running = new LinkedHashMap<>();
  private final Map<String, Integer> barred = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long token;
  private long untilMillis;
  private long lastEnd;

  /** Creates a runner whose payloads say how long they run. */
  public FleetRunner() {
    this(FleetRunner::millis);
  }

  FleetRunner(ToLongFunction<String> runMillis) {
    this.runMillis = runMillis;
  }

  private static long millis(String payload) {
    return payload.matches("[0-9]{1,6}") ? Long.parseLong(payload) : DEFAULT_RUN_MILLIS;
  }

  /** Returns whether a token is too low, and notes a higher one. */
  public boolean isFenced(long t) {
    token = Math.max(token, t);
    return t < token;
  }

  /** Starts a run; returns why it was refused, if it was. */
  public Optional<String> start(String task, int run, String payload, long until, long now) {
    advance(now);
    grant(until, now);
    Present p = running.get(task);
    if (p != null && p.run() == run) {
      return Optional.empty();
    }
    if (run <= barred.getOrDefault(task, 0) || p != null) {
      return Optional.of("old");
    }
    if (until <= now) {
      return Optional.of("late");
    }
    boolean fails = payload.equals("fail");
    running.put(task, new Present(task, run, now + runMillis.applyAsLong(payload), fails));
    return Optional.empty();
  }

  /** Stops a run and refuses its start from now on. */
  public void stop(String task, int run, long now) {
    advance(now);
    Present p = running.get(task);
    barred.merge(task, run, Math::max);
    if (p != null && p.run() <= run) {
      end(p, "stopped");
    }
  }

  /** Extends leases and forgets acknowledged ends. */
  public void hold(long until, long acked, long now) {
    advance(now);
    grant(until, now);
    ends.removeIf(e -> e.number() <= acked);
  }

  private void grant(long until, long now) {
    untilMillis = Math.max(untilMillis, Math.min(until, now + MAX_HOLD_MILLIS));
  }

  /** Ends what is over by now. */
  public void advance(long now) {
    for (Present p : List.copyOf(running.values())) {
      if (p.endsMillis() <= Math.min(now, untilMillis)) {
        end(p, p.fails() ? "failed" : "done");
      } else if (untilMillis <= now) {
        end(p, "lapsed");
      }
    }
  }

  private void end(Present p, String how) {
    running.remove(p.task());
    barred.merge(p.task(), p.run(), Math::max);
    ends.add(new End(++lastEnd, p.task(), p.run(), how));
  }

  /** Returns the runs that are present. */
  public List<Present> running() {
    return List.copyOf(running.values());
  }

  /** Returns the ends that were not acknowledged. */
  public List<End> ends() {
    return List.copyOf(ends);
  }
}
