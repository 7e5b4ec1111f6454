package dev.dandelionport.bench;

import dev.dandelionport.core.scheduler.PartitionScheduler;

/** Prints how much memory a scheduler retains. No test compares the figure with a limit. */
public final class MemoryBenchmark {
  private static final int PLACEMENTS = 20_000;

  private MemoryBenchmark() {}

  /** Measures cells of three sizes, after start and after 20,000 placements. */
  public static void main(String[] args) {
    PolicyBenchmark.print(
        "%-12s %16s %34s", "workers", "MiB at start", "MiB after 20,000 placements");
    // Warm-up: class loading and caches would otherwise be counted in the first measurement.
    measure(30);
    for (int workers : new int[] {30, 300, 1_500}) {
      double[] mib = measure(workers);
      PolicyBenchmark.print("%-12d %16.2f %34.2f", workers, mib[0], mib[1]);
    }
  }

  private static double[] measure(int workers) {
    final long before = usedBytes();
    DecisionBenchmark b = new DecisionBenchmark();
    b.workers = workers;
    b.fillCell();
    double start = mib(usedBytes() - before);
    for (int i = 0; i < PLACEMENTS; i++) {
      b.placement();
    }
    double end = mib(usedBytes() - before);
    keepReachable(b.scheduler());
    return new double[] {start, end};
  }

  /** Uses the scheduler, so that it stays reachable until its memory has been measured. */
  private static void keepReachable(PartitionScheduler s) {
    if (s.stats().jobs() < 0) {
      throw new IllegalStateException("negative number of jobs");
    }
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }

  private static double mib(long bytes) {
    return bytes / 1024.0 / 1024.0;
  }
}
