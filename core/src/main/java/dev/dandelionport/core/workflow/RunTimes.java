package dev.dandelionport.core.workflow;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Learns per queue how long runs take, also compared with their stated estimates. */
final class RunTimes {

  /** Weight of the latest run in the ratio to the estimates. */
  private static final double GAIN = 0.05;

  /** Latest runs of a queue that are remembered. */
  private static final int WINDOW = 128;

  /** Runs of a queue after which the long ones among them tell what is unusual. */
  private static final int MIN_RUNS = 30;

  /** Part of the runs that are shorter than what counts as long. */
  private static final double LONG_QUANTILE = 0.97;

  private static final class Queue {
    double ratio = 1;
    int count;
    final long[] latest = new long[WINDOW];
    long longMillis;

    void add(long millis) {
      latest[count++ % WINDOW] = millis;
      if (count >= MIN_RUNS && count % (MIN_RUNS / 3) == 0) {
        long[] sorted = Arrays.copyOf(latest, Math.min(count, WINDOW));
        Arrays.sort(sorted);
        longMillis = sorted[(int) (LONG_QUANTILE * (sorted.length - 1))];
      }
    }
  }

  private final Map<String, Queue> queues = new HashMap<>();

  /** Notes a whole run and returns its time as a multiple of what was expected. */
  double ran(Step s, long millis) {
    final double expected = Math.max(1, expectedMillis(s));
    Queue q = queues.computeIfAbsent(s.workflow.spec.queue(), k -> new Queue());
    double ratio = (double) millis / Math.max(1, s.spec.estimateMillis());
    q.ratio += GAIN * (ratio - q.ratio);
    q.add(millis);
    return millis / expected;
  }

  /** Returns how long a run of the step usually takes, in milliseconds. */
  long expectedMillis(Step s) {
    Queue q = queues.get(s.workflow.spec.queue());
    return (long) ((q == null ? 1 : q.ratio) * s.spec.estimateMillis());
  }

  /** Returns a time that few runs of the step's queue exceed; 0 while it is not known. */
  long longMillis(Step s) {
    Queue q = queues.get(s.workflow.spec.queue());
    return q == null ? 0 : q.longMillis;
  }
}
