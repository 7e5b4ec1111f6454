package dev.dandelionport.core.workflow;

import dev.dandelionport.core.admission.Backlog;
import dev.dandelionport.core.admission.CapacityUse;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.HashMap;
import java.util.Map;

/**
 * Capacity and backlog of the pools of a cell, as plain values for the forecast of admission. The
 * backlog is computed only for pools that are nearly full, and at most once per interval.
 */
final class AdmissionLoad {

  /**
   * Interval at which a backlog is computed again, in milliseconds. Scanning thousands of waiting
   * steps takes about a millisecond, which a small machine can afford ten times a second.
   */
  private static final long INTERVAL_MILLIS = 100;

  /** The runners of a service with a label; the label may be empty. */
  record Pool(String service, String label) {}

  /** Returns the free capacity of a runner that work of a priority may use. */
  @FunctionalInterface
  interface FreeCapacity {
    ResourceVector on(Runner r, int priority);
  }

  private final CellState cell;
  private final FreeCapacity free;
  private final Map<Pool, Backlog> backlogs = new HashMap<>();
  private long computedMillis = -INTERVAL_MILLIS;

  AdmissionLoad(CellState cell, FreeCapacity free) {
    this.cell = cell;
    this.free = free;
  }

  /** Returns the capacity of a pool, and whether it is too full for tasks of a size. */
  CapacityUse poolUse(Pool p, ResourceVector size, int priority) {
    ResourceVector capacity = ResourceVector.ZERO;
    long fittingNow = 0;
    long fittingEmpty = 0;
    for (Runner r : cell.runners.values()) {
      if (contains(p, r)) {
        ResourceVector c = r.described().description.capacity();
        capacity = capacity.plus(c);
        fittingEmpty += size.countFittingIn(c);
        boolean usable = r.isReady() && r.health().acceptsRuns(cell.now);
        fittingNow += usable ? size.countFittingIn(free.on(r, priority)) : 0;
      }
    }
    return CapacityUse.of(capacity, fittingNow, fittingEmpty);
  }

  /**
   * Returns the quota of an account, without limits if it has none, and whether it is too full for
   * tasks of a size.
   */
  CapacityUse quotaUse(String account, ResourceVector size) {
    ResourceVector quota = quota(account);
    ResourceVector used = cell.shares.used(account);
    return CapacityUse.of(
        quota,
        CellState.countBelowCeiling(size, quota, used),
        CellState.countBelowCeiling(size, quota, ResourceVector.ZERO));
  }

  ResourceVector quota(String account) {
    Account a = cell.policy.accounts().get(account);
    return a == null ? ResourceVector.ZERO : a.ceiling();
  }

  Backlog backlog(Pool p) {
    if (cell.now - computedMillis >= INTERVAL_MILLIS) {
      computedMillis = cell.now;
      backlogs.clear();
    }
    return backlogs.computeIfAbsent(p, this::computeBacklog);
  }

  /** Returns whether nine tenths of the listed runners have reported to this owner. */
  boolean areRunnersKnown() {
    int listed = 0;
    int reported = 0;
    for (Runner r : cell.runners.values()) {
      listed += r.listed ? 1 : 0;
      reported += r.listed && r.ownerConfirmed ? 1 : 0;
    }
    return 10 * reported >= 9 * listed;
  }

  /**
   * Returns whether a runner belongs to a pool and may get work. Runners that do not answer count
   * too, because in the best case they answer at once.
   */
  private boolean contains(Pool p, Runner r) {
    RunnerDescription d = r.described().description;
    return r.listed
        && d.service().equals(p.service)
        && (p.label.isEmpty() || d.labels().contains(p.label))
        && !d.draining()
        && !cell.closedDomains.contains(d.failureDomain());
  }

  private Backlog computeBacklog(Pool p) {
    Backlog b = new Backlog(cell.now);
    for (Step s : cell.ready) {
      Queue q = cell.queueOf(s);
      if (q != null
          && !s.spec.longRunning()
          && q.service().equals(p.service)
          && s.spec.requiredLabel().equals(p.label)) {
        addWaiting(b, s);
      }
    }
    for (Runner r : cell.runners.values()) {
      if (contains(p, r)) {
        r.runs.forEach(x -> addRunning(b, x));
      }
    }
    return b;
  }

  private void addWaiting(Backlog b, Step s) {
    int tasks = 0;
    for (Task t : s.tasks) {
      // What remains of a task with a checkpoint is not known.
      tasks += t.isWaiting() && t.checkpoint.isEmpty() ? 1 : 0;
    }
    if (tasks == 0) {
      return;
    }
    long acceptedMillis = s.workflow.acceptedMillis;
    long expectedMillis = cell.runTimes.expectedMillis(s);
    Backlog.Waiting w =
        new Backlog.Waiting(
            s.workflow.spec.account(),
            s.priority,
            cell.shares.isBehind(s),
            (long) (s.dueMillis - Placement.MIN_REMAINING_FRACTION * expectedMillis),
            s.dueMillis,
            (long) (acceptedMillis + Placement.WORTHLESS_FACTOR * (s.dueMillis - acceptedMillis)));
    long shortMillis = cell.runTimes.shortRunMillis(s.workflow.spec.queue());
    b.addWaiting(w, s.spec.reserved().times(tasks), shortMillis, expectedMillis);
  }

  private void addRunning(Backlog b, Run r) {
    Step s = r.task.step;
    if (s.spec.longRunning() || r.stopReason != null || !r.task.checkpoint.isEmpty()) {
      return;
    }
    long ranMillis = r.startSentMillis == 0 ? 0 : cell.now - r.startSentMillis;
    long shortMillis = cell.runTimes.shortRunMillis(s.workflow.spec.queue());
    b.addRunning(
        s.workflow.spec.account(),
        s.priority,
        r.reserved,
        Math.max(0, shortMillis - ranMillis),
        Math.max(0, cell.runTimes.expectedMillis(s) - ranMillis));
  }
}
