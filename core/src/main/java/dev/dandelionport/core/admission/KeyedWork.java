package dev.dandelionport.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Sums of work by a time, such as the due time; each query takes logarithmic time. */
final class KeyedWork {

  private record Entry(long key, Work work) {}

  private final List<Entry> entries = new ArrayList<>();
  private long[] keys = {};
  private Work[] sumsFrom = {Work.ZERO};
  private boolean sorted = true;

  void add(long key, Work w) {
    entries.add(new Entry(key, w));
    sorted = false;
  }

  /** Returns the sum of the work whose key is at least {@code key}. */
  Work from(long key) {
    sort();
    int low = 0;
    int high = keys.length;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (keys[middle] < key) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return sumsFrom[low];
  }

  /** Returns the sum of the work whose key is at most {@code key}. */
  Work until(long key) {
    return total().minus(from(key + 1));
  }

  Work total() {
    sort();
    return sumsFrom[0];
  }

  private void sort() {
    if (sorted) {
      return;
    }
    sorted = true;
    entries.sort(Comparator.comparingLong(Entry::key));
    int n = entries.size();
    keys = new long[n];
    sumsFrom = new Work[n + 1];
    sumsFrom[n] = Work.ZERO;
    for (int i = n - 1; i >= 0; i--) {
      keys[i] = entries.get(i).key();
      sumsFrom[i] = sumsFrom[i + 1].plus(entries.get(i).work());
    }
  }
}
