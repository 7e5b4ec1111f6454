package dev.dandelionport.core.health;

import java.util.Arrays;

/**
 * Speed of a runner: the median ratio of its latest run times to the expected ones. A single long
 * task, as in a load with a heavy tail, does not change it; a slow runner shows after three runs.
 */
public final class SpeedRatio {

  private static final int RUNS = 5;

  private final double[] latest = new double[RUNS];
  private int next;

  /** Creates the ratio of a runner of normal speed. */
  public SpeedRatio() {
    reset();
  }

  /** Adds the ratio of a run. */
  public void add(double ratio) {
    latest[next++ % RUNS] = ratio;
  }

  /** Returns the median: 1 for normal speed, more for a slow runner. */
  public double median() {
    double[] sorted = latest.clone();
    Arrays.sort(sorted);
    return sorted[RUNS / 2];
  }

  /** Assumes normal speed again. */
  public void reset() {
    Arrays.fill(latest, 1);
  }
}
