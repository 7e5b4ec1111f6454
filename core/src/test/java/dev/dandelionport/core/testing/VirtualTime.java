package dev.dandelionport.core.testing;

import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BooleanSupplier;

/** Runs scheduled actions in time order on the calling thread; equal times keep their order. */
public final class VirtualTime {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private record Task(long atNanos, long order, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          (a, b) ->
              a.atNanos != b.atNanos
                  ? Long.compare(a.atNanos, b.atNanos)
                  : Long.compare(a.order, b.order));
  private final Random random;
  private final Random clockOffsets;
  private long nowNanos = 1_000_000 * NANOS_PER_MILLI;
  private long nextOrder;

  public VirtualTime(long seed) {
    this.random = new Random(seed);
    this.clockOffsets = new Random(~seed);
  }

  public long nowNanos() {
    return nowNanos;
  }

  public long nowMillis() {
    return nowNanos / NANOS_PER_MILLI;
  }

  public Random random() {
    return random;
  }

  /** Returns a message latency between 0.1 ms and {@code maxMillis}, in nanoseconds. */
  public long latencyNanos(long maxMillis) {
    return NANOS_PER_MILLI / 10 + (long) (random.nextDouble() * maxMillis * NANOS_PER_MILLI);
  }

  /**
   * Returns the offset of the next process's monotonic clock; the clocks of two processes differ by
   * up to 1,000 s.
   */
  public long nextClockOffsetNanos() {
    return (long) (clockOffsets.nextDouble() * 1_000_000 * NANOS_PER_MILLI)
        - 500_000 * NANOS_PER_MILLI;
  }

  public void afterNanos(long nanos, Runnable action) {
    tasks.add(new Task(nowNanos + Math.max(0, nanos), nextOrder++, action));
  }

  public void afterMillis(long millis, Runnable action) {
    afterNanos(millis * NANOS_PER_MILLI, action);
  }

  public void runFor(long millis) {
    runUntil(() -> false, millis);
  }

  /** Runs until the condition holds or time is over; returns whether it holds. */
  public boolean runUntil(BooleanSupplier condition, long limitMillis) {
    long end = nowNanos + limitMillis * NANOS_PER_MILLI;
    while (!condition.getAsBoolean()) {
      Task t = tasks.peek();
      if (t == null || t.atNanos > end) {
        nowNanos = end;
        return condition.getAsBoolean();
      }
      tasks.poll();
      nowNanos = t.atNanos;
      t.action.run();
    }
    return true;
  }
}
