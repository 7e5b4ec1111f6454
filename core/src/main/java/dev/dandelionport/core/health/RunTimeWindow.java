package dev.dandelionport.core.health;

import java.util.Arrays;

/**
 * Quantiles of the latest values, such as run times of a queue. Adapts to a load whose run times
 * change, because old values leave the window.
 */
public final class RunTimeWindow {

  /** Number of added values after which the sorted copy is renewed. */
  private static final int SORT_INTERVAL = 10;

  private final double[] latest;
  private double[] sorted = {};
  private int added;
  private int addedWhenSorted;

  /** Creates a window of the latest {@code size} values. */
  public RunTimeWindow(int size) {
    latest = new double[size];
  }

  /** Adds a value; the oldest one leaves a full window. */
  public void add(double value) {
    latest[added++ % latest.length] = value;
  }

  /** Returns how many values were added. */
  public int count() {
    return added;
  }

  /** Returns how much the values vary: the 90th percentile as a multiple of the median. */
  public double spread() {
    return quantile(0.9) / Math.max(Double.MIN_NORMAL, quantile(0.5));
  }

  /**
   * Returns a quantile of the values that were in the window after one of the latest additions; 0
   * without values.
   */
  public double quantile(double q) {
    if (sorted.length == 0 || added >= addedWhenSorted + SORT_INTERVAL) {
      sorted = Arrays.copyOf(latest, Math.min(added, latest.length));
      Arrays.sort(sorted);
      addedWhenSorted = added;
    }
    return sorted.length == 0 ? 0 : sorted[(int) (q * (sorted.length - 1))];
  }
}
