package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps capacity free for work of priority 0, as much as its recent peak demand. Without it, urgent
 * work in a full cell has to wait until another run has stopped, which can take longer than the
 * work itself. The headroom is spread over all runners, so it can exclude large tasks from every
 * one of them. A step that has waited may therefore use it on some runners while much of the whole
 * pool is free, and tasks that last may use it while there is room for twice as many.
 */
final class Headroom {

  /** A runner's capacity divided by this is the minimum that is kept free. */
  private static final int MIN_DIVISOR = 16;

  /** Maximum fraction of a runner that is kept free. */
  private static final double MAX_FRACTION = 0.4;

  /** Factor by which the headroom exceeds the recent peak demand. */
  private static final double PEAK_FACTOR = 1.2;

  /**
   * Fraction of an average task that is added on each runner, because free capacity is rarely a
   * multiple of the task size.
   */
  private static final double TASK_FRACTION = 0.5;

  /** Time constant of the exponential decay of a peak, in milliseconds. */
  private static final double PEAK_DECAY_MILLIS = 6_000;

  /** Time that a step must have waited before it may use headroom, in milliseconds. */
  private static final long MIN_WAIT_MILLIS = 500;

  /** Multiple of a lasting task that must fit before it may use headroom. */
  private static final int LASTING_ROOM_FACTOR = 2;

  /** A pool's capacity divided by this must be free before a task may use headroom. */
  private static final int TASK_FREE_DIVISOR = 2;

  /**
   * A pool's capacity divided by this must remain free beside a gang that uses headroom. A gang
   * that fits twice into a pool of which half is free always leaves that much.
   */
  private static final int GANG_FREE_DIVISOR = 4;

  /** Total and free capacity of the usable runners of a pool. */
  private record Pool(ResourceVector capacity, ResourceVector free) {
    Pool plus(Pool o) {
      return new Pool(capacity.plus(o.capacity), free.plus(o.free));
    }

    /**
     * Returns whether the capacity divided by {@code divisor} remains free after {@code taken} is
     * used.
     */
    boolean leavesFree(int divisor, ResourceVector taken) {
      ResourceVector remaining = free.minus(taken);
      return remaining.milliCores() >= capacity.milliCores() / divisor
          && remaining.memoryMb() >= capacity.memoryMb() / divisor;
    }
  }

  /** Counts tasks of a step that fit on all runners, headroom included. */
  @FunctionalInterface
  interface RoomCounter {
    /** Returns how many tasks fit; may stop counting at {@code limit}. */
    int count(Step s, Queue q, int limit);
  }

  private final CellState cell;
  private final RoomCounter room;
  private final Map<String, Pool> pools = new HashMap<>();

  /**
   * Value of {@link CellState#occupancyVersion} for which {@link #pools} was computed; -1 for none.
   */
  private long poolsVersion = -1;

  private Step lastStep;
  private boolean lastDecision;
  private double peakMilliCores;
  private double peakMemoryMb;
  private double averageTaskMilliCores;
  private double averageTaskMemoryMb;
  private int runnerCount = 1;
  private long updatedMillis;

  Headroom(CellState cell, RoomCounter room) {
    this.cell = cell;
    this.room = room;
  }

  /** Updates the peak demand of urgent work: what it uses and what it waits for. */
  void update() {
    double cores = 0;
    double memory = 0;
    int usableRunners = 0;
    for (Runner r : cell.runners.values()) {
      usableRunners += r.isDescribed() && r.ownerConfirmed && !r.description().draining() ? 1 : 0;
      cores += r.urgentUsed.milliCores();
      memory += r.urgentUsed.memoryMb();
    }
    for (Step s : cell.ready) {
      if (s.priority > 0) {
        break;
      }
      if (cell.shares.isOver(s)) {
        // Other accounts keep no capacity free for it.
        continue;
      }
      int waiting = 0;
      for (Task t : s.tasks) {
        waiting += t.isWaiting() ? 1 : 0;
      }
      ResourceVector size = s.spec.reserved();
      cores += (double) waiting * size.milliCores();
      memory += (double) waiting * size.memoryMb();
      averageTaskMilliCores += 0.02 * (size.milliCores() - averageTaskMilliCores);
      averageTaskMemoryMb += 0.02 * (size.memoryMb() - averageTaskMemoryMb);
    }
    double decay = Math.exp(-(cell.now - updatedMillis) / PEAK_DECAY_MILLIS);
    updatedMillis = cell.now;
    peakMilliCores = Math.max(cores, decay * peakMilliCores);
    peakMemoryMb = Math.max(memory, decay * peakMemoryMb);
    runnerCount = Math.max(1, usableRunners);
    poolsVersion = -1;
  }

  /**
   * Returns whether a step has waited long enough, and its pool is free enough, to use headroom.
   */
  boolean mayUseHeadroom(Step s, Queue q) {
    if (s.readyMillis < 0 || cell.now - s.readyMillis < MIN_WAIT_MILLIS) {
      return false;
    }
    if (poolsVersion != cell.occupancyVersion) {
      sumPools();
      lastStep = null;
    }
    if (lastStep != s) {
      lastStep = s;
      lastDecision = decide(s, q);
    }
    return lastDecision;
  }

  private boolean decide(Step s, Queue q) {
    if (s.spec.longRunning()) {
      // Nothing that ends makes room for it later, so it neither waits for a free pool nor counts
      // its siblings.
      int wanted = LASTING_ROOM_FACTOR * (s.spec.gang() ? s.startable(cell.now).size() : 1);
      return room.count(s, q, wanted) >= wanted;
    }
    Pool p = pools.get(q.service());
    if (p == null) {
      return false;
    }
    if (s.spec.gang()) {
      int tasks = s.startable(cell.now).size();
      return p.leavesFree(GANG_FREE_DIVISOR, s.spec.reserved().times(tasks));
    }
    return !s.hasRuns() && p.leavesFree(TASK_FREE_DIVISOR, ResourceVector.ZERO);
  }

  private void sumPools() {
    pools.clear();
    for (Runner r : cell.runners.values()) {
      if (cell.takesWork(r)) {
        Pool pool = new Pool(r.description().capacity(), r.free());
        pools.merge(r.description().service(), pool, Pool::plus);
      }
    }
    poolsVersion = cell.occupancyVersion;
  }

  /** Returns the capacity of a runner that other work must leave free. */
  ResourceVector headroomOn(Runner r) {
    ResourceVector c = r.description().capacity();
    long cores =
        headroomOf(c.milliCores(), peakMilliCores, averageTaskMilliCores)
            - r.urgentUsed.milliCores();
    long memory =
        headroomOf(c.memoryMb(), peakMemoryMb, averageTaskMemoryMb) - r.urgentUsed.memoryMb();
    return new ResourceVector(0, 0, Math.max(0, cores), Math.max(0, memory), 0);
  }

  /**
   * Returns the headroom in one resource of a runner, from its capacity, the cell's peak demand and
   * the average size of an urgent task.
   */
  private long headroomOf(long capacity, double peak, double averageTask) {
    // The average task size never decays, so the peak bounds its share.
    double wanted = PEAK_FACTOR * peak / runnerCount + Math.min(peak, TASK_FRACTION * averageTask);
    double minimum = (double) capacity / MIN_DIVISOR;
    return (long) Math.min(MAX_FRACTION * capacity, Math.max(minimum, wanted));
  }
}
