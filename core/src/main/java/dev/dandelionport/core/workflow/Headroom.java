package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;

/**
 * Keeps room free for work of the first priority, as much as it lately needed at its peak. Without
 * it a full cell makes urgent work wait for a stop, which can take longer than the work itself.
 */
final class Headroom {

  /** One part in this many of a runner is kept free at least. */
  private static final int LEAST_PARTS = 16;

  /** Most of a runner that is kept free. */
  private static final double MOST = 0.4;

  /** How much more than the recent peak is kept free. */
  private static final double SPARE = 1.2;

  /** Part of a task that is added for each runner, because room is not found in whole tasks. */
  private static final double TASK_PART = 0.5;

  /** Time in which a peak is forgotten, in milliseconds. */
  private static final double FORGET_MILLIS = 6_000;

  private final Cell cell;
  private double milliCores;
  private double memoryMb;
  private double taskMilliCores;
  private double taskMemoryMb;
  private int runners = 1;
  private long atMillis;

  Headroom(Cell cell) {
    this.cell = cell;
  }

  /** Measures what urgent work takes and waits for. */
  void update() {
    double cores = 0;
    double memory = 0;
    int usable = 0;
    for (Runner r : cell.runners.values()) {
      usable += r.listed && r.fenced && !r.info.draining() ? 1 : 0;
      cores += r.urgentUsed.milliCores();
      memory += r.urgentUsed.memoryMb();
    }
    for (Step s : cell.ready) {
      if (s.priority > 0) {
        break;
      }
      int waiting = 0;
      for (Task t : s.tasks) {
        waiting += t.waits() ? 1 : 0;
      }
      ResourceVector size = s.spec.reserved();
      cores += (double) waiting * size.milliCores();
      memory += (double) waiting * size.memoryMb();
      taskMilliCores += 0.02 * (size.milliCores() - taskMilliCores);
      taskMemoryMb += 0.02 * (size.memoryMb() - taskMemoryMb);
    }
    double kept = Math.exp(-(cell.now - atMillis) / FORGET_MILLIS);
    atMillis = cell.now;
    milliCores = Math.max(cores, kept * milliCores);
    memoryMb = Math.max(memory, kept * memoryMb);
    runners = Math.max(1, usable);
  }

  /** Returns the room of a runner that other work must leave free. */
  ResourceVector keptFree(Runner r) {
    ResourceVector c = r.info.capacity();
    long cores =
        kept(c.milliCores(), SPARE * milliCores / runners + TASK_PART * taskMilliCores)
            - r.urgentUsed.milliCores();
    long memory =
        kept(c.memoryMb(), SPARE * memoryMb / runners + TASK_PART * taskMemoryMb)
            - r.urgentUsed.memoryMb();
    return new ResourceVector(0, 0, Math.max(0, cores), Math.max(0, memory), 0);
  }

  private static long kept(long capacity, double wanted) {
    double least = (double) capacity / LEAST_PARTS;
    return (long) Math.min(MOST * capacity, Math.max(least, wanted));
  }
}
