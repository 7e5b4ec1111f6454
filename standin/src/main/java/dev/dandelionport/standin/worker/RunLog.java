package dev.dandelionport.standin.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs on all workers, recorded by the stand-in platform to check the invariants of the scheduler.
 * A rule that an operator changes has a grace period in which it must take effect; starts count as
 * violations only after it.
 */
public final class RunLog {

  /** Time for which starts may continue after a drain or on a leaving worker, in milliseconds. */
  static final long DRAIN_GRACE_MILLIS = 3_000;

  /** Time within which a lowered team limit must take effect on all workers, in milliseconds. */
  static final long LIMIT_GRACE_MILLIS = 6_000;

  private record Limit(int tasks, long sinceMillis) {}

  private final Map<String, List<RunRecord>> byJob = new LinkedHashMap<>();
  private final Map<String, Integer> runningByJob = new HashMap<>();
  private final Map<String, Integer> runningByTeam = new HashMap<>();
  private final Map<String, Long> drainedSinceMillis = new HashMap<>();
  private final Map<String, List<Limit>> limits = new HashMap<>();
  private final Map<String, Integer> violations = new TreeMap<>();

  /** Creates an empty log in which every violation count is 0. */
  public RunLog() {
    for (String name :
        List.of(
            "overlaps", "overcommits", "restarts", "overLimit", "drainedStarts", "leavingStarts")) {
      violations.put(name, 0);
    }
  }

  /** Records that a failure domain was drained or returned to service. */
  public synchronized void setDrained(String failureDomain, boolean drained, long nowMillis) {
    if (drained) {
      drainedSinceMillis.putIfAbsent(failureDomain, nowMillis);
    } else {
      drainedSinceMillis.remove(failureDomain);
    }
  }

  /** Records how many tasks a team may run across all workers from {@code nowMillis} on. */
  public synchronized void setLimit(String team, int tasks, long nowMillis) {
    limits.computeIfAbsent(team, t -> new ArrayList<>()).add(new Limit(tasks, nowMillis));
  }

  /**
   * Records the start of a run and counts the invariants that it violates.
   *
   * @param run the run
   * @param once whether the task must not be started more than once
   * @param overcommitted whether the running tasks exceed the capacity of the worker
   * @param leavingSinceMillis when the worker was marked as leaving, or 0 if it was not
   */
  public synchronized void started(
      RunRecord run, boolean once, boolean overcommitted, long leavingSinceMillis) {
    List<RunRecord> runs = byJob.computeIfAbsent(run.job(), j -> new ArrayList<>());
    runs.add(run);
    count("overlaps", runningByJob.merge(run.job(), 1, Integer::sum) > 1);
    count("restarts", once && runs.size() > 1);
    count("overcommits", overcommitted);
    long now = run.startedMillis();
    int runningOfTeam = runningByTeam.merge(run.team(), 1, Integer::sum);
    count("overLimit", runningOfTeam > highestLimit(run.team(), now));
    Long drained = drainedSinceMillis.get(run.failureDomain());
    count("drainedStarts", drained != null && now > drained + DRAIN_GRACE_MILLIS);
    count("leavingStarts", leavingSinceMillis > 0 && now > leavingSinceMillis + DRAIN_GRACE_MILLIS);
  }

  private void count(String name, boolean violated) {
    if (violated) {
      violations.merge(name, 1, Integer::sum);
    }
  }

  /** Returns the highest limit in effect during the grace period that ends at {@code now}. */
  private int highestLimit(String team, long now) {
    int highest = 0;
    boolean coversPeriod = false;
    List<Limit> all = limits.getOrDefault(team, List.of());
    for (int i = all.size() - 1; i >= 0 && !coversPeriod; i--) {
      highest = Math.max(highest, all.get(i).tasks());
      coversPeriod = all.get(i).sinceMillis() <= now - LIMIT_GRACE_MILLIS;
    }
    return coversPeriod ? highest : Integer.MAX_VALUE;
  }

  /** Records the end of a run. */
  public synchronized void ended(RunRecord ended) {
    runningByJob.merge(ended.job(), -1, (a, b) -> a + b == 0 ? null : a + b);
    runningByTeam.merge(ended.team(), -1, Integer::sum);
    byJob.get(ended.job()).replaceAll(r -> r.attempt().equals(ended.attempt()) ? ended : r);
  }

  /** Returns all runs. */
  public synchronized List<RunRecord> all() {
    return byJob.values().stream().flatMap(List::stream).toList();
  }

  /**
   * Returns how often each invariant was violated: {@code overlaps} (a task with two runs at the
   * same time), {@code overcommits} (tasks exceed the capacity of a worker), {@code restarts} (a
   * non-repeatable task was started again), {@code overLimit} (a team exceeds its limit), {@code
   * drainedStarts} and {@code leavingStarts} (starts in a drained failure domain or on a leaving
   * worker).
   */
  public synchronized Map<String, Integer> violations() {
    return new TreeMap<>(violations);
  }
}
