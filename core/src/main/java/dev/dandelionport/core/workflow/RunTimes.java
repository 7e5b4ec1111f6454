package dev.dandelionport.core.workflow;

import java.util.HashMap;
import java.util.Map;

/** Learns per queue how long runs take compared with their stated estimates. */
final class RunTimes {

  /** Weight of the latest run. */
  private static final double GAIN = 0.05;

  /** Runs of a queue after which its longest one tells what is unusual. */
  private static final int MIN_RUNS = 30;

  private final Map<String, Double> ratios = new HashMap<>();
  private final Map<String, Integer> counts = new HashMap<>();
  private final Map<String, Long> longest = new HashMap<>();

  /** Notes a whole run and returns its time as a multiple of what was expected. */
  double ran(Step s, long millis) {
    double expected = Math.max(1, expectedMillis(s));
    double ratio = (double) millis / Math.max(1, s.spec.estimateMillis());
    counts.merge(s.workflow.spec.queue(), 1, Integer::sum);
    longest.merge(s.workflow.spec.queue(), millis, Math::max);
    ratios.merge(s.workflow.spec.queue(), ratio, (a, b) -> a + GAIN * (b - a));
    return millis / expected;
  }

  /** Returns the longest run of the step's queue, in milliseconds; a large value if unknown. */
  long longestMillis(Step s) {
    String queue = s.workflow.spec.queue();
    return counts.getOrDefault(queue, 0) < MIN_RUNS ? Long.MAX_VALUE / 4 : longest.get(queue);
  }

  /** Returns how long a run of the step usually takes, in milliseconds. */
  long expectedMillis(Step s) {
    double ratio = ratios.getOrDefault(s.workflow.spec.queue(), 1.0);
    return (long) (ratio * s.spec.estimateMillis());
  }
}
