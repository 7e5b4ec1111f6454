package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.placement.WorkerIndex.CapacityKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Starts waiting work: urgent work first, then gangs, then services and deferrable work. */
final class Placer {
  private final SchedulerState state;
  private final AttemptManager attempts;
  private final Preemptor preemptor;
  private final GangScheduler gangScheduler;
  private final DeadlineBoost boost;

  Placer(
      SchedulerState state,
      AttemptManager attempts,
      Preemptor preemptor,
      GangScheduler gangScheduler) {
    this.state = state;
    this.attempts = attempts;
    this.preemptor = preemptor;
    this.gangScheduler = gangScheduler;
    this.boost = new DeadlineBoost(state);
  }

  void place() {
    List<WorkerState> withFreedCapacity = List.copyOf(state.workersWithFreedCapacity);
    state.workersWithFreedCapacity.clear();
    // Blocked work goes first, so that work that has just become startable, such as the work
    // preempted for it, does not take the freed capacity.
    withFreedCapacity.forEach(this::startBlockedUrgent);
    placeUrgent();
    preemptForUrgent();
    gangScheduler.place();
    withFreedCapacity.forEach(this::startBlockedNonUrgent);
    placeNonUrgent();
  }

  /**
   * Starts blocked urgent work on a worker with freed capacity. Blocked work fits on no other
   * worker.
   */
  private void startBlockedUrgent(WorkerState w) {
    while (acceptsWork(w)) {
      ShapeQueue q =
          state.waiting.nextBlocked(
              true,
              state.teams::mayStartUrgent,
              state.teams.shares::weightedShare,
              x -> x.head().spec.taskSize().fitsIn(w.free()),
              x -> false);
      if (q == null) {
        return;
      }
      if (!removeIfTooLate(q.head())) {
        attempts.start(q.head().startableTasks.peek(), w);
      }
    }
  }

  /**
   * Starts blocked work that is not urgent after capacity became free on a worker: on that worker,
   * or on any worker if the work was blocked only by the headroom.
   */
  private void startBlockedNonUrgent(WorkerState w) {
    while (acceptsWork(w)) {
      ShapeQueue q =
          state.waiting.nextBlocked(
              false,
              state.teams::mayStart,
              state.teams.shares::weightedShare,
              x -> mayStartHead(x, w),
              boost::isBoosted);
      if (q == null) {
        return;
      }
      JobState j = q.head();
      if (removeIfTooLate(j)) {
        continue;
      }
      TaskState t = j.startableTasks.peek();
      if (q.block == ShapeQueue.Block.HEADROOM) {
        state.waiting.unblock(q);
        placeNonUrgentTask(q, t);
      } else if (state.fleet.headroomAllows(j.spec.taskSize())) {
        t.backfill = !j.spec.taskSize().fitsIn(w.free().minus(w.reserved));
        attempts.start(t, w);
      } else {
        state.waiting.block(q, ShapeQueue.Block.HEADROOM);
        return;
      }
    }
  }

  private boolean mayStartHead(ShapeQueue q, WorkerState w) {
    ResourceVector size = q.head().spec.taskSize();
    if (q.block == ShapeQueue.Block.HEADROOM) {
      return state.fleet.headroomAllows(size);
    }
    return size.fitsIn(w.free().minus(w.reserved))
        || size.fitsIn(w.free()) && gangScheduler.mayBackfill(q.head().startableTasks.peek(), w);
  }

  private boolean acceptsWork(WorkerState w) {
    return w.usable && w.health.acceptsWork(w.committed.size(), state.now);
  }

  private void placeUrgent() {
    if (state.waiting.waitingTasks(WorkloadClass.URGENT) == 0) {
      return;
    }
    ShapeQueue q = nextUrgent();
    while (q != null) {
      JobState j = q.head();
      if (!removeIfTooLate(j)) {
        TaskState t = j.startableTasks.peek();
        Optional<WorkerId> w = findUrgentWorker(t);
        if (w.isPresent()) {
          attempts.start(t, state.fleet.get(w.get()));
        } else {
          state.counters.failedSearches++;
          state.waiting.block(q, ShapeQueue.Block.CAPACITY);
        }
      }
      q = nextUrgent();
    }
  }

  private void preemptForUrgent() {
    if (state.waiting.waitingTasks(WorkloadClass.URGENT) == 0) {
      return;
    }
    for (TeamQueue t : state.waiting.teams()) {
      for (ShapeQueue x : t.queues(true)) {
        if (x.preemptionNeeded && x.block != ShapeQueue.Block.NONE) {
          preemptor.preemptForQueue(x);
        }
      }
    }
  }

  private ShapeQueue nextUrgent() {
    return state.waiting.next(
        true, state.teams::mayStartUrgent, state.teams.shares::weightedShare, x -> false);
  }

  private Optional<WorkerId> findUrgentWorker(TaskState t) {
    ResourceVector size = t.job.spec.taskSize();
    Optional<WorkerId> w = state.fleet.index.find(CapacityKind.FREE, size, t.workersToAvoid());
    return w.isEmpty() && !t.workersToAvoid().isEmpty()
        ? state.fleet.index.find(CapacityKind.FREE, size, List.of())
        : w;
  }

  private void placeNonUrgent() {
    ShapeQueue q = nextNonUrgent();
    while (q != null) {
      JobState j = q.head();
      if (!removeIfTooLate(j)) {
        placeNonUrgentTask(q, j.startableTasks.peek());
      }
      q = nextNonUrgent();
    }
  }

  private ShapeQueue nextNonUrgent() {
    return state.waiting.next(
        false, state.teams::mayStart, state.teams.shares::weightedShare, boost::isBoosted);
  }

  private void placeNonUrgentTask(ShapeQueue q, TaskState t) {
    ResourceVector size = t.job.spec.taskSize();
    if (!state.fleet.headroomAllows(size)) {
      state.waiting.block(q, ShapeQueue.Block.HEADROOM);
      return;
    }
    Optional<WorkerId> w = findNonUrgentWorker(t, t.workersToAvoid());
    if (w.isEmpty() && !t.workersToAvoid().isEmpty()) {
      w = findNonUrgentWorker(t, List.of());
    }
    if (w.isPresent()) {
      attempts.start(t, state.fleet.get(w.get()));
      return;
    }
    WorkerState backfillWorker = gangScheduler.findBackfillWorker(t);
    if (backfillWorker != null) {
      t.backfill = true;
      attempts.start(t, backfillWorker);
      return;
    }
    state.counters.failedSearches++;
    state.waiting.block(q, ShapeQueue.Block.CAPACITY);
  }

  private Optional<WorkerId> findNonUrgentWorker(TaskState t, List<WorkerId> avoid) {
    JobState j = t.job;
    ResourceVector size = j.spec.taskSize();
    return j.workloadClass() == WorkloadClass.SERVICE
        ? state.fleet.index.spread(
            CapacityKind.UNRESERVED, size, j.tasksByDomain, j.lastRackByDomain, avoid)
        : state.fleet.index.find(CapacityKind.UNRESERVED, size, avoid);
  }

  /**
   * Ends a job whose tasks would start too late or, while attempts are open, removes its tasks from
   * the queue. Returns whether the job is too late.
   */
  private boolean removeIfTooLate(JobState j) {
    if (!attempts.lifecycle().isTooLate(j)) {
      return false;
    }
    if (!attempts.lifecycle().endIfTooLate(j)) {
      // The job ends when its open attempts have ended.
      new ArrayList<>(j.startableTasks).forEach(state.waiting::remove);
    }
    return true;
  }

  /**
   * Updates the deadline boosts, and lets waiting urgent work preempt again; called once per tick.
   */
  void tick() {
    boost.updateMaxShares();
    for (TeamQueue t : state.waiting.teams()) {
      int urgent = t.tasks(true);
      if (urgent > 0) {
        t.queues(true).forEach(q -> q.preemptionNeeded = true);
        if (!state.teams.mayStartUrgent(t.id)) {
          preemptor.preemptWithinLimit(t.id, urgent);
        }
      }
    }
  }
}
