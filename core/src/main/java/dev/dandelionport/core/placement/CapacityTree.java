package dev.dandelionport.core.placement;

import dev.dandelionport.core.common.ResourceVector;
import java.util.Arrays;

/**
 * Finds a worker with enough capacity in a fixed sequence of workers. Each inner node holds the
 * component-wise maximum of its leaves, so that a search skips every range without enough capacity.
 */
final class CapacityTree {

  private static final int DIMENSIONS = 5;

  /**
   * Number of copies of a task that must fit into the first half of a range for the second half not
   * to be compared.
   */
  private static final double AMPLE_COPIES = 4;

  /** Result of a search that found no position. */
  static final int NOT_FOUND = -1;

  private final int leaves;
  private final long[] max;
  private final long[] requested = new long[DIMENSIONS];
  private long comparisons;

  CapacityTree(int size) {
    leaves = Math.max(1, Integer.highestOneBit(Math.max(1, size - 1)) << (size > 1 ? 1 : 0));
    max = new long[2 * leaves * DIMENSIONS];
    Arrays.fill(max, -1);
  }

  /** Sets the capacity at a position; null if the worker there must not get work. */
  void set(int position, ResourceVector capacity) {
    int node = leaves + position;
    int offset = node * DIMENSIONS;
    max[offset] = capacity == null ? -1 : capacity.slots();
    max[offset + 1] = capacity == null ? -1 : capacity.connections();
    max[offset + 2] = capacity == null ? -1 : capacity.milliCores();
    max[offset + 3] = capacity == null ? -1 : capacity.memoryMb();
    max[offset + 4] = capacity == null ? -1 : capacity.accelerators();
    for (node >>= 1; node >= 1 && updateMaximum(node); node >>= 1) {
      // Continue upwards while a maximum changes.
    }
  }

  private boolean updateMaximum(int node) {
    boolean changed = false;
    int offset = node * DIMENSIONS;
    int left = 2 * node * DIMENSIONS;
    for (int d = 0; d < DIMENSIONS; d++) {
      long m = Math.max(max[left + d], max[left + DIMENSIONS + d]);
      changed |= max[offset + d] != m;
      max[offset + d] = m;
    }
    return changed;
  }

  /**
   * Returns a position in [from, to) that is not in {@code avoid} and has capacity for a size, or
   * {@link #NOT_FOUND}. Prefers the first half of a range while it has ample capacity, and
   * otherwise the half with more capacity.
   */
  int find(ResourceVector size, int from, int to, int[] avoid) {
    requested[0] = size.slots();
    requested[1] = size.connections();
    requested[2] = size.milliCores();
    requested[3] = size.memoryMb();
    requested[4] = size.accelerators();
    comparisons++;
    return copiesThatFit(1) < 1 ? NOT_FOUND : search(1, 0, leaves, from, to, avoid);
  }

  /** Returns the number of nodes that all searches have compared. */
  long comparisons() {
    return comparisons;
  }

  private int search(int node, int lo, int hi, int from, int to, int[] avoid) {
    if (hi - lo == 1) {
      return contains(avoid, lo) ? NOT_FOUND : lo;
    }
    int mid = (lo + hi) >>> 1;
    int left = 2 * node;
    double leftCopies = from < mid && to > lo ? countedCopies(left) : 0;
    int found = NOT_FOUND;
    boolean leftIsAmple = leftCopies >= AMPLE_COPIES;
    if (leftIsAmple) {
      found = search(left, lo, mid, from, to, avoid);
    }
    if (found != NOT_FOUND) {
      return found;
    }
    double rightCopies = from < hi && to > mid ? countedCopies(left + 1) : 0;
    boolean leftFirst = !leftIsAmple && leftCopies >= rightCopies;
    if (leftCopies >= 1 && leftFirst) {
      found = search(left, lo, mid, from, to, avoid);
    }
    if (found == NOT_FOUND && rightCopies >= 1) {
      found = search(left + 1, mid, hi, from, to, avoid);
    }
    if (found == NOT_FOUND && leftCopies >= 1 && !leftFirst && !leftIsAmple) {
      found = search(left, lo, mid, from, to, avoid);
    }
    return found;
  }

  private double countedCopies(int node) {
    comparisons++;
    return copiesThatFit(node);
  }

  private static boolean contains(int[] avoid, int position) {
    for (int a : avoid) {
      if (a == position) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns how many times the requested size fits into the maxima of a node; below 1 it does not
   * fit.
   */
  private double copiesThatFit(int node) {
    int offset = node * DIMENSIONS;
    double copies = Double.MAX_VALUE;
    for (int d = 0; d < DIMENSIONS; d++) {
      if (max[offset + d] < requested[d]) {
        return 0;
      }
      if (requested[d] > 0) {
        copies = Math.min(copies, (double) max[offset + d] / requested[d]);
      }
    }
    return copies;
  }
}
