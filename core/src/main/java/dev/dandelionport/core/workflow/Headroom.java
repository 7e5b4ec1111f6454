package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps room free for work of the first priority, as much as it lately needed at its peak. Without
 * it a full cell makes urgent work wait for a stop, which can take longer than the work itself. The
 * room is spread over all runners, which can exclude large tasks from each of them; a step that has
 * waited may therefore take it on some runners while much of the whole pool is free.
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

  /** Time that a step waits before it may take room that is kept free, in milliseconds. */
  private static final long WAIT_MILLIS = 500;

  /** One part in this many of a pool must be free for a task that takes such room. */
  private static final int FREE_PARTS = 2;

  /**
   * One part in this many of a pool must stay free beside a gang that takes such room. A gang that
   * fits twice over into a pool of which half is free always leaves that much.
   */
  private static final int LEFT_PARTS = 4;

  /** Sums over the usable runners of a pool. */
  private record Pool(ResourceVector capacity, ResourceVector free) {
    Pool plus(Pool o) {
      return new Pool(capacity.plus(o.capacity), free.plus(o.free));
    }

    /** Returns whether one part in {@code parts} stays free after {@code taken} is taken. */
    boolean leaves(int parts, ResourceVector taken) {
      ResourceVector left = free.minus(taken);
      return left.milliCores() >= capacity.milliCores() / parts
          && left.memoryMb() >= capacity.memoryMb() / parts;
    }
  }

  private final Cell cell;
  private final Map<String, Pool> pools = new HashMap<>();

  /** State of {@link Cell#roomChanges} that {@link #pools} shows; -1 for none. */
  private long poolsAtChange = -1;

  private Step lastStep;
  private boolean lastAnswer;
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
    poolsAtChange = -1;
  }

  /** Returns whether a step that has waited may take room that is otherwise kept free. */
  boolean givesWay(Step s, Queue q) {
    if (s.readyMillis < 0 || cell.now - s.readyMillis < WAIT_MILLIS) {
      return false;
    }
    if (poolsAtChange != cell.roomChanges) {
      sumPools();
      lastStep = null;
    }
    if (lastStep != s) {
      lastStep = s;
      lastAnswer = decide(s, q);
    }
    return lastAnswer;
  }

  private boolean decide(Step s, Queue q) {
    Pool p = pools.get(q.service());
    if (p == null) {
      return false;
    }
    if (s.spec.gang()) {
      int tasks = s.startable(cell.now).size();
      return p.leaves(LEFT_PARTS, s.spec.reserved().times(tasks));
    }
    return !s.hasRuns() && p.leaves(FREE_PARTS, ResourceVector.ZERO);
  }

  private void sumPools() {
    pools.clear();
    for (Runner r : cell.runners.values()) {
      if (r.listed
          && r.fenced
          && !r.silent
          && !r.info.draining()
          && !cell.closedDomains.contains(r.info.failureDomain())) {
        Pool one = new Pool(r.info.capacity(), r.free());
        pools.merge(r.info.service(), one, Pool::plus);
      }
    }
    poolsAtChange = cell.roomChanges;
  }

  /** Returns the room of a runner that other work must leave free. */
  ResourceVector keptFree(Runner r) {
    ResourceVector c = r.info.capacity();
    long cores = kept(c.milliCores(), milliCores, taskMilliCores) - r.urgentUsed.milliCores();
    long memory = kept(c.memoryMb(), memoryMb, taskMemoryMb) - r.urgentUsed.memoryMb();
    return new ResourceVector(0, 0, Math.max(0, cores), Math.max(0, memory), 0);
  }

  /** Returns what is kept of a runner's resource, from the cell's recent peak and a task's size. */
  private long kept(long capacity, double peak, double task) {
    // The size of a task is known for ever; once the peak is forgotten, it no longer counts.
    double wanted = SPARE * peak / runners + Math.min(peak, TASK_PART * task);
    double least = (double) capacity / LEAST_PARTS;
    return (long) Math.min(MOST * capacity, Math.max(least, wanted));
  }
}
