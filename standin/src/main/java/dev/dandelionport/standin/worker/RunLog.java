package dev.dandelionport.standin.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All runs on all workers, kept by the platform so that invariants are checked on its side. A rule
 * that an operator changes has a period in which it must come into force; starts are counted as
 * violations only after it.
 */
public final class RunLog {

  /** Time after a drain, or after a worker was marked leaving, in which starts may still come. */
  static final long DRAIN_GRACE_MILLIS = 3_000;

  /** Time in which a lowered team limit must be in force everywhere. */
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

  /** Tells that a failure domain was drained, or that it is in service again. */
  public synchronized void setDrained(String failureDomain, boolean drained, long nowMillis) {
    if (drained) {
      drainedSinceMillis.putIfAbsent(failureDomain, nowMillis);
    } else {
      drainedSinceMillis.remove(failureDomain);
    }
  }

  /** Tells how many tasks a team may run across the fleet from now on. */
  public synchronized void setLimit(String team, int tasks, long nowMillis) {
    limits.computeIfAbsent(team, t -> new ArrayList<>()).add(new Limit(tasks, nowMillis));
  }

  /**
   * Records a start.
   *
   * @param r the run
   * @param once whether the task must never be started a second time
   * @param overcommitted whether the worker has more committed than it offers
   * @param leavingSinceMillis when the worker was marked leaving, 0 if it was not
   */
  public synchronized void started(
      RunRecord r, boolean once, boolean overcommitted, long leavingSinceMillis) {
    List<RunRecord> runs = byJob.computeIfAbsent(r.job(), j -> new ArrayList<>());
    runs.add(r);
    count("overlaps", runningByJob.merge(r.job(), 1, Integer::sum) > 1);
    count("restarts", once && runs.size() > 1);
    count("overcommits", overcommitted);
    long now = r.startedMillis();
    int runningOfTeam = runningByTeam.merge(r.team(), 1, Integer::sum);
    count("overLimit", runningOfTeam > highestLimit(r.team(), now));
    Long drained = drainedSinceMillis.get(r.failureDomain());
    count("drainedStarts", drained != null && now > drained + DRAIN_GRACE_MILLIS);
    count("leavingStarts", leavingSinceMillis > 0 && now > leavingSinceMillis + DRAIN_GRACE_MILLIS);
  }

  private void count(String name, boolean violated) {
    if (violated) {
      violations.merge(name, 1, Integer::sum);
    }
  }

  /** Returns the highest limit that was set at any moment of the period before {@code now}. */
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
   * Returns how often each invariant was violated: {@code overlaps} (a task in two places), {@code
   * overcommits} (more on a worker than it offers), {@code restarts} (a not repeatable task started
   * again), {@code overLimit} (more tasks of a team than its limit), {@code drainedStarts} and
   * {@code leavingStarts} (starts in a drained failure domain or on a leaving worker).
   */
  public synchronized Map<String, Integer> violations() {
    return new TreeMap<>(violations);
  }
}
