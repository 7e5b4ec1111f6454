package dev.dandelionport.core.scheduler;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Scheduled actions, run in the order of their time and then of their registration. */
final class Timers {

  private record Entry(long atMillis, long sequence, Runnable action) {}

  private final PriorityQueue<Entry> heap =
      new PriorityQueue<>(
          Comparator.comparingLong(Entry::atMillis).thenComparingLong(Entry::sequence));
  private long sequence;

  /**
   * Runs {@code action} at the first event at or after a time. Actions cannot be cancelled, so each
   * must check whether it still applies.
   */
  void at(long atMillis, Runnable action) {
    heap.add(new Entry(atMillis, sequence++, action));
  }

  void run(long now) {
    while (!heap.isEmpty() && heap.peek().atMillis() <= now) {
      heap.poll().action().run();
    }
  }
}
