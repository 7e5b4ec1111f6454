package dev.dandelionport.core.workflow;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Learns per queue how long runs take, also compared with their stated estimates. */
final class RunTimeStatistics {

  /** Weight of the latest run in the ratio to the estimates. */
  private static final double RATIO_WEIGHT = 0.05;

  /** Latest runs of a queue that are remembered. */
  private static final int WINDOW_RUNS = 128;

  /** Runs of a queue after which the long ones among them tell what is unusual. */
  private static final int MIN_RUNS = 30;

  /** Part of the runs that are shorter than what counts as long. */
  private static final double LONG_QUANTILE = 0.97;

  private static final class QueueRunTimes {
    double estimateRatio = 1;
    int runCount;
    final long[] recentMillis = new long[WINDOW_RUNS];
    long longRunMillis;

    void add(long millis) {
      recentMillis[runCount++ % WINDOW_RUNS] = millis;
      if (runCount >= MIN_RUNS && runCount % (MIN_RUNS / 3) == 0) {
        long[] sorted = Arrays.copyOf(recentMillis, Math.min(runCount, WINDOW_RUNS));
        Arrays.sort(sorted);
        longRunMillis = sorted[(int) (LONG_QUANTILE * (sorted.length - 1))];
      }
    }
  }

  private final Map<String, QueueRunTimes> queues = new HashMap<>();

  /** Notes a whole run and returns its time as a multiple of what was expected. */
  double recordRun(Step s, long millis) {
    final double expected = Math.max(1, expectedMillis(s));
    QueueRunTimes q = queues.computeIfAbsent(s.workflow.spec.queue(), k -> new QueueRunTimes());
    double ratio = (double) millis / Math.max(1, s.spec.estimateMillis());
    q.estimateRatio += RATIO_WEIGHT * (ratio - q.estimateRatio);
    q.add(millis);
    return millis / expected;
  }

  /** Returns how long a run of the step usually takes, in milliseconds. */
  long expectedMillis(Step s) {
    QueueRunTimes q = queues.get(s.workflow.spec.queue());
    return (long) ((q == null ? 1 : q.estimateRatio) * s.spec.estimateMillis());
  }

  /** Returns a time that few runs of the step's queue exceed; 0 while it is not known. */
  long longRunMillis(Step s) {
    QueueRunTimes q = queues.get(s.workflow.spec.queue());
    return q == null ? 0 : q.longRunMillis;
  }
}
