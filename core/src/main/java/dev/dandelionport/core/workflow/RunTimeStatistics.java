package dev.dandelionport.core.workflow;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Run times by queue, and their ratio to the submitted estimates. */
final class RunTimeStatistics {

  /** Weight of the latest run in the ratio of actual to estimated run time. */
  private static final double RATIO_WEIGHT = 0.05;

  /** Number of latest runs kept per queue. */
  private static final int WINDOW_RUNS = 128;

  /** Minimum number of recorded runs of a queue before its long run time is computed. */
  private static final int MIN_RUNS = 30;

  /** Quantile of the run times that counts as a long run. */
  private static final double LONG_QUANTILE = 0.97;

  /** Quantile of the run times that counts as a short run. */
  private static final double SHORT_QUANTILE = 0.1;

  private static final class QueueRunTimes {
    double estimateRatio = 1;
    int runCount;
    final long[] recentMillis = new long[WINDOW_RUNS];
    long longRunMillis;
    long shortRunMillis;

    void add(long millis) {
      recentMillis[runCount++ % WINDOW_RUNS] = millis;
      if (runCount >= MIN_RUNS && runCount % (MIN_RUNS / 3) == 0) {
        long[] sorted = Arrays.copyOf(recentMillis, Math.min(runCount, WINDOW_RUNS));
        Arrays.sort(sorted);
        longRunMillis = sorted[(int) (LONG_QUANTILE * (sorted.length - 1))];
        shortRunMillis = sorted[(int) (SHORT_QUANTILE * (sorted.length - 1))];
      }
    }
  }

  private final Map<String, QueueRunTimes> queues = new HashMap<>();

  /** Times from the last start of a gang's members to its end, by queue. */
  private final Map<String, QueueRunTimes> gangs = new HashMap<>();

  /** Records a complete run and returns the ratio of its time to the expected time. */
  double recordRun(Step s, long millis) {
    final double expected = Math.max(1, expectedMillis(s));
    QueueRunTimes q = queues.computeIfAbsent(s.workflow.spec.queue(), k -> new QueueRunTimes());
    double ratio = (double) millis / Math.max(1, s.spec.estimateMillis());
    q.estimateRatio += RATIO_WEIGHT * (ratio - q.estimateRatio);
    q.add(millis);
    return millis / expected;
  }

  /** Returns the expected run time of a task of the step, in milliseconds. */
  long expectedMillis(Step s) {
    QueueRunTimes q = queues.get(s.workflow.spec.queue());
    return (long) ((q == null ? 1 : q.estimateRatio) * s.spec.estimateMillis());
  }

  /**
   * Returns the time that few runs of the step's queue exceed, in milliseconds; 0 before enough
   * runs were recorded.
   */
  long longRunMillis(Step s) {
    QueueRunTimes q = queues.get(s.workflow.spec.queue());
    return q == null ? 0 : q.longRunMillis;
  }

  /**
   * Records a complete run of a gang. It is used for {@link #shortRunMillis} only: members also
   * wait for each other, so that their times say little about the speed of a runner.
   */
  void recordGangRun(Step s, long millis) {
    gangs.computeIfAbsent(s.workflow.spec.queue(), k -> new QueueRunTimes()).add(millis);
  }

  /**
   * Returns the time that nearly all runs of a queue exceed, in milliseconds; 0 before enough runs
   * were recorded.
   */
  long shortRunMillis(String queue) {
    QueueRunTimes q = queues.get(queue);
    QueueRunTimes g = gangs.get(queue);
    long single = q == null ? 0 : q.shortRunMillis;
    long gang = g == null ? 0 : g.shortRunMillis;
    return single == 0 || gang == 0 ? Math.max(single, gang) : Math.min(single, gang);
  }
}
