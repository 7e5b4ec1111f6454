package dev.dandelionport.core.workflow;

import dev.dandelionport.core.health.RestartDecision;
import dev.dandelionport.core.health.RunTimeWindow;
import dev.dandelionport.core.health.StopOutcomes;
import java.util.HashMap;
import java.util.Map;

/** Run times by queue, their ratio to the submitted estimates, and the limits that follow. */
final class RunTimeStatistics {

  /** Weight of the latest run in the ratio of actual to estimated run time. */
  private static final double RATIO_WEIGHT = 0.05;

  /** Number of latest runs of a queue from which its long run time is computed. */
  private static final int WINDOW_RUNS = 128;

  /** Number of latest runs of a queue from which the time of its longest runs is computed. */
  private static final int LONGEST_WINDOW_RUNS = 512;

  /** Minimum number of recorded runs of a queue before its long run time is computed. */
  private static final int MIN_RUNS = 30;

  /** Minimum number of recorded gangs; a queue has far fewer of them. */
  private static final int MIN_GANGS = 5;

  /** Minimum number of tasks of a step that are done before the others are compared with them. */
  private static final int MIN_SIBLINGS = 3;

  /** Quantile of the run times that counts as a long run. */
  private static final double LONG_QUANTILE = 0.97;

  /** Quantile of the run times that counts as a short run. */
  private static final double SHORT_QUANTILE = 0.1;

  /** Quantile of the run times that hardly any run exceeds, not even long tasks. */
  private static final double LONGEST_QUANTILE = 0.995;

  /** Multiple of the long run time of its queue that a run may take. */
  private static final double QUEUE_FACTOR = 1.3;

  /** The same for the longest runs; together with the margin 1.35 for a full window. */
  private static final double LONGEST_FACTOR = 1.15;

  /** Multiple of the expected time for the longest run of a queue of which few runs are known. */
  private static final double UNKNOWN_FACTOR = 4;

  /** Margin for the longest of few runs: the quantile of 5 runs is raised by a factor of 3.2. */
  private static final double SAMPLE_MARGIN = 4;

  /** Multiple of the longest run of the same step that a run may take. */
  private static final double STEP_FACTOR = 2.2;

  /** Time added to each of the limits, in milliseconds. */
  private static final long GRACE_MILLIS = 600;

  /** Maximum number of times that the limits double for a task that was stopped as stuck. */
  private static final int MAX_DOUBLINGS = 10;

  /** Assumed share of runs that hang before any has; counts as much as {@link #PRIOR_RUNS}. */
  private static final double PRIOR_FAULT_RATE = 0.01;

  private static final double PRIOR_RUNS = 100;

  /** Number of latest runs of all queues from which the share that hangs is computed. */
  private static final double FAULT_RUNS = 2_000;

  private static final class QueueRunTimes {
    double estimateRatio = 1;
    final RunTimeWindow millis = new RunTimeWindow(WINDOW_RUNS);
    final RunTimeWindow longMillis = new RunTimeWindow(LONGEST_WINDOW_RUNS);
    final RunTimeWindow expectedRatios = new RunTimeWindow(LONGEST_WINDOW_RUNS);
    final RunTimeWindow siblingRatios = new RunTimeWindow(LONGEST_WINDOW_RUNS);
    final StopOutcomes stopOutcomes;

    QueueRunTimes(StopOutcomes all) {
      stopOutcomes = new StopOutcomes(all);
    }

    boolean hasRuns(Step s) {
      return millis.count() >= (s.spec.gang() ? MIN_GANGS : MIN_RUNS);
    }
  }

  private record Key(String queue, boolean gang) {}

  private final Map<Key, QueueRunTimes> queues = new HashMap<>();
  private final StopOutcomes allOutcomes = new StopOutcomes();
  private double runs = PRIOR_RUNS;
  private double faults = PRIOR_RUNS * PRIOR_FAULT_RATE;

  private QueueRunTimes queue(Step s) {
    Key key = new Key(s.workflow.spec.queue(), s.spec.gang());
    return queues.computeIfAbsent(key, k -> new QueueRunTimes(allOutcomes));
  }

  /**
   * Records a complete run, or that of a gang, and returns the ratio of its time to the expected
   * time.
   */
  double recordRun(Step s, long millis) {
    final double expected = Math.max(1, expectedMillis(s));
    QueueRunTimes q = queue(s);
    if (!s.spec.gang()) {
      double ratio = (double) millis / Math.max(1, s.spec.estimateMillis());
      q.estimateRatio += RATIO_WEIGHT * (ratio - q.estimateRatio);
    }
    q.millis.add(millis);
    q.longMillis.add(millis);
    q.expectedRatios.add(millis / expected);
    if (hasSiblings(s)) {
      q.siblingRatios.add((double) millis / s.longestRunMillis);
    }
    return millis / expected;
  }

  /** Counts a run that ended by itself. */
  void countRun() {
    if (++runs > FAULT_RUNS) {
      runs /= 2;
      faults /= 2;
    }
  }

  /** Counts a run that hung. */
  void countFault() {
    faults++;
  }

  /** Returns the share of the runs on all runners that hang. */
  double faultRate() {
    return faults / runs;
  }

  /** Returns why runs of the step's queue took conspicuously long. */
  StopOutcomes stopOutcomes(Step s) {
    return queue(s).stopOutcomes;
  }

  private static boolean hasSiblings(Step s) {
    return s.longestRunMillis > 0 && s.spec.tasks() - s.unfinishedTasks >= MIN_SIBLINGS;
  }

  /** Returns the expected run time of a task of the step, in milliseconds. */
  long expectedMillis(Step s) {
    QueueRunTimes q = queues.get(new Key(s.workflow.spec.queue(), s.spec.gang()));
    return (long) ((q == null ? 1 : q.estimateRatio) * s.spec.estimateMillis());
  }

  /**
   * Returns the limits of a run by the run times of its queue and of the other tasks of its step;
   * null without enough of them.
   *
   * @param stuckCount how often the task was stopped before; each stop after the first doubles the
   *     limits
   */
  RestartDecision limits(Step s, int stuckCount) {
    QueueRunTimes q = queue(s);
    double suspect = Double.MAX_VALUE;
    if (q.hasRuns(s)) {
      suspect = QUEUE_FACTOR * q.millis.quantile(LONG_QUANTILE);
    }
    if (s.longestRunMillis > 0) {
      suspect = Math.min(suspect, STEP_FACTOR * s.longestRunMillis);
    }
    if (suspect == Double.MAX_VALUE) {
      return null;
    }
    // The probability of a fault accounts for the first stop.
    int doublings = Math.max(0, stuckCount - 1);
    return new RestartDecision(
        extendedLimit(suspect, doublings),
        extendedLimit(Math.max(suspect, longestMillis(s, q)), doublings));
  }

  /** Returns the time that hardly any run exceeds, by whatever predicts it best. */
  private double longestMillis(Step s, QueueRunTimes q) {
    if (hasSiblings(s) && q.siblingRatios.count() >= MIN_RUNS) {
      return longest(q.siblingRatios) * s.longestRunMillis;
    }
    if (!q.hasRuns(s)) {
      return UNKNOWN_FACTOR * expectedMillis(s);
    }
    return q.expectedRatios.spread() < q.longMillis.spread()
        ? longest(q.expectedRatios) * expectedMillis(s)
        : longest(q.longMillis);
  }

  /** Returns a bound of the values that hardly any value will exceed. */
  private static double longest(RunTimeWindow w) {
    int n = Math.min(w.count(), LONGEST_WINDOW_RUNS);
    return LONGEST_FACTOR * (1 + SAMPLE_MARGIN / Math.sqrt(n)) * w.quantile(LONGEST_QUANTILE);
  }

  /** Returns a limit with a margin, doubled for each time that the task was stopped as stuck. */
  static double extendedLimit(double millis, int stuckCount) {
    return (millis + GRACE_MILLIS) * (1 << Math.min(MAX_DOUBLINGS, stuckCount));
  }

  /**
   * Returns the time that nearly all runs of a queue exceed, in milliseconds; 0 before enough runs
   * were recorded.
   */
  long shortRunMillis(String queue) {
    long single = shortRunMillis(new Key(queue, false));
    long gang = shortRunMillis(new Key(queue, true));
    return single == 0 || gang == 0 ? Math.max(single, gang) : Math.min(single, gang);
  }

  private long shortRunMillis(Key key) {
    QueueRunTimes q = queues.get(key);
    return q == null || q.millis.count() < MIN_RUNS ? 0 : (long) q.millis.quantile(SHORT_QUANTILE);
  }
}
