package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.placement.WorkerIndex.CapacityKind;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import dev.dandelionport.core.scheduler.WorkerState.Commitment;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Starts gangs: all tasks that are not done, or none. Only one reservation exists at a time, for
 * the first gang that does not fit, so that two gangs never wait for capacity reserved for each
 * other.
 */
final class GangScheduler {

  /** Maximum number of gangs tried in one step; bounds the duration of the step. */
  private static final int MAX_TRIED_PER_STEP = 8;

  private final SchedulerState state;
  private final AttemptManager attempts;
  private final GangPlanner planner;
  private GangReservation reservation;
  private long lastTriedCapacityVersion = -1;
  private long lastTriedGang = -1;

  GangScheduler(SchedulerState state, AttemptManager attempts) {
    this.state = state;
    this.attempts = attempts;
    this.planner = new GangPlanner(state, attempts.lifecycle());
  }

  GangReservation reservation() {
    return reservation;
  }

  /** Starts the gangs that fit, and creates, updates or releases the reservation. */
  void place() {
    if (reservation != null && !isReservationValid()) {
      releaseReservation();
    }
    long last = state.waiting.lastGangPosition();
    if (last < 0 || lastTriedCapacityVersion == state.capacityVersion && lastTriedGang == last) {
      return;
    }
    lastTriedCapacityVersion = state.capacityVersion;
    lastTriedGang = last;
    if (reservation != null) {
      startReserved();
    }
    int tried = 0;
    for (JobState j : state.waiting.gangs()) {
      if (!j.inGangQueue || reservation != null && reservation.job() == j) {
        continue;
      }
      if (tried++ == MAX_TRIED_PER_STEP) {
        break;
      }
      startOrReserve(j);
    }
  }

  private void startOrReserve(JobState j) {
    if (attempts.lifecycle().endIfTooLate(j) || yieldsToOtherTeam(j)) {
      return;
    }
    TeamUsage u = state.teams.of(j.team());
    int n = j.unfinishedTasks();
    if (u.running + u.reserved + n <= u.maxRunning() && startUnreserved(j)) {
      return;
    }
    if (reservation == null && n <= u.maxRunning()) {
      planner.plan(j).ifPresent(this::reserve);
    }
  }

  /**
   * Returns whether another team with waiting work has a lower weighted share than the team of the
   * gang.
   */
  private boolean yieldsToOtherTeam(JobState j) {
    ShapeQueue q =
        state.waiting.next(
            false, state.teams::mayStart, state.teams.shares::weightedShare, x -> false);
    return q != null
        && state.teams.shares.weightedShare(q.team.id) < state.teams.shares.weightedShare(j.team());
  }

  /**
   * Starts all tasks if unreserved capacity is found for each of them; returns whether they
   * started.
   */
  private boolean startUnreserved(JobState j) {
    ResourceVector size = j.spec.taskSize();
    ResourceVector totalSize = size.times(j.unfinishedTasks());
    if (!totalSize.fitsIn(state.fleet.capacity().minus(state.fleet.used()))
        || !state.fleet.headroomAllows(totalSize)) {
      return false;
    }
    List<TaskState> pending = j.waitingTasks();
    List<WorkerState> chosen = new ArrayList<>();
    for (TaskState t : pending) {
      WorkerState w =
          state.fleet.get(
              state
                  .fleet
                  .index
                  .find(CapacityKind.UNRESERVED, size, t.workersToAvoid())
                  .orElse(null));
      if (w == null) {
        break;
      }
      chosen.add(w);
      setReserved(w, w.reserved.plus(size));
    }
    chosen.forEach(w -> setReserved(w, w.reserved.minus(size)));
    if (chosen.size() < pending.size()) {
      return false;
    }
    state.waiting.removeGang(j);
    for (int i = 0; i < chosen.size(); i++) {
      attempts.start(pending.get(i), chosen.get(i));
    }
    return true;
  }

  private void reserve(GangReservation r) {
    reservation = r;
    r.tasks().forEach((id, n) -> addReserved(id, r.taskSize().times(n)));
    state.teams.of(r.job().team()).reserved += r.job().unfinishedTasks();
  }

  private void releaseReservation() {
    GangReservation r = reservation;
    reservation = null;
    r.tasks().forEach((id, n) -> addReserved(id, ResourceVector.ZERO.minus(r.taskSize().times(n))));
    state.teams.of(r.job().team()).reserved -= r.job().unfinishedTasks();
    state.capacityVersion++;
    state.waiting.unblockAll();
  }

  private void addReserved(WorkerId id, ResourceVector additional) {
    WorkerState w = state.fleet.get(id);
    if (w != null) {
      setReserved(w, w.reserved.plus(additional));
    }
  }

  private void setReserved(WorkerState w, ResourceVector reserved) {
    w.reserved = reserved;
    state.fleet.reindex(w, state.now);
  }

  private boolean isReservationValid() {
    JobState j = reservation.job();
    if (!j.inGangQueue || j.unfinishedTasks() > state.teams.of(j.team()).maxRunning()) {
      return false;
    }
    if (state.now >= reservation.deadlineMillis()) {
      // The gang moves to the end of the queue, so that other gangs can get the reservation.
      state.waiting.removeGang(j);
      state.waiting.addGang(j, state.nextSequence());
      return false;
    }
    for (WorkerId id : reservation.tasks().keySet()) {
      WorkerState w = state.fleet.get(id);
      if (w == null || !w.usable || w.health.isHeldBack()) {
        return false;
      }
    }
    return true;
  }

  private void startReserved() {
    GangReservation r = reservation;
    JobState j = r.job();
    TeamUsage u = state.teams.of(j.team());
    if (u.running + j.unfinishedTasks() > u.maxRunning()) {
      return;
    }
    List<TaskState> backfill = new ArrayList<>();
    boolean ready = true;
    for (Map.Entry<WorkerId, Integer> e : r.tasks().entrySet()) {
      WorkerState w = state.fleet.get(e.getKey());
      ResourceVector available = w.free();
      ResourceVector required = r.taskSize().times(e.getValue());
      if (!required.fitsIn(available)) {
        ready = false;
        for (Commitment c : w.committed.values()) {
          if (c.task() != null && c.task().backfill) {
            backfill.add(c.task());
            available = available.plus(c.size());
          }
        }
        if (!required.fitsIn(available)) {
          return;
        }
      }
    }
    if (!ready) {
      for (TaskState t : backfill) {
        if (t.stopping == null) {
          attempts.stop(t, Stopping.RESERVATION);
        }
      }
      return;
    }
    releaseReservation();
    state.waiting.removeGang(j);
    Iterator<TaskState> pending = j.waitingTasks().iterator();
    for (Map.Entry<WorkerId, Integer> e : r.tasks().entrySet()) {
      for (int n = 0; n < e.getValue(); n++) {
        attempts.start(pending.next(), state.fleet.get(e.getKey()));
      }
    }
  }

  /**
   * Returns a worker with reserved capacity for a task that is expected to end before the gang
   * needs it, or null.
   */
  WorkerState findBackfillWorker(TaskState t) {
    if (!endsBeforeGangIsReady(t)) {
      return null;
    }
    WorkerState w =
        state.fleet.get(
            state
                .fleet
                .index
                .find(CapacityKind.FREE, t.job.spec.taskSize(), t.workersToAvoid())
                .orElse(null));
    return w == null || !reservation.tasks().containsKey(w.info.id()) ? null : w;
  }

  /** Returns whether a task may use the capacity reserved on a worker. */
  boolean mayBackfill(TaskState t, WorkerState w) {
    return endsBeforeGangIsReady(t) && reservation.tasks().containsKey(w.info.id());
  }

  private boolean endsBeforeGangIsReady(TaskState t) {
    JobSpec spec = t.job.spec;
    return reservation != null
        && spec.repeatable()
        && spec.workloadClass() == WorkloadClass.DEFERRABLE
        && attempts.lifecycle().expectedEndMillisIfStartedNow(t) <= reservation.readyMillis();
  }

  /** Returns the number of waiting gangs ahead of {@code j}. */
  int gangsAhead(JobState j) {
    return Math.max(
        0,
        Collections.binarySearch(
            state.waiting.gangs(), j, (a, b) -> Long.compare(a.priority, b.priority)));
  }
}
