package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Applies a new list of workers to the fleet. */
final class FleetUpdater {

  /** Time after which all task leases have expired on a worker that no owner has contacted. */
  private static final long LEASE_EXPIRY_MILLIS = 16_000;

  private final SchedulerState state;
  private final AttemptManager attempts;
  private final WorkerReportHandler reportHandler;
  private final DrainController drainController;

  /** Open attempts from the journal whose worker has not been listed yet. */
  private final Map<WorkerId, List<TaskState>> attemptsByUnlistedWorker = new TreeMap<>();

  private boolean firstUpdate = true;

  FleetUpdater(
      SchedulerState state,
      AttemptManager attempts,
      WorkerReportHandler reportHandler,
      DrainController drainController) {
    this.state = state;
    this.attempts = attempts;
    this.reportHandler = reportHandler;
    this.drainController = drainController;
  }

  /** Adds an open attempt from the journal; it is accounted for when its worker is listed. */
  void addReplayedAttempt(TaskState t) {
    attemptsByUnlistedWorker.computeIfAbsent(t.worker, k -> new ArrayList<>()).add(t);
  }

  void update(List<WorkerInfo> workers) {
    final boolean wasEmpty = state.fleet.workersByCapacity().isEmpty();
    Set<WorkerId> listed = new HashSet<>();
    boolean changed = firstUpdate;
    for (WorkerInfo info : workers) {
      listed.add(info.id());
      changed |= updateWorker(info);
    }
    List<WorkerId> removed = new ArrayList<>();
    for (WorkerState w : state.fleet.all()) {
      boolean stillListed = listed.contains(w.info.id());
      if (!stillListed && w.committed.isEmpty()) {
        removed.add(w.info.id());
      } else if (!stillListed && w.listed) {
        w.listed = false;
        w.leaving = true;
        changed = true;
      }
    }
    if (firstUpdate) {
      firstUpdate = false;
      List.copyOf(attemptsByUnlistedWorker.keySet()).forEach(this::addUnlisted);
    }
    if (!changed && removed.isEmpty()) {
      return;
    }
    state.fleet.removeAndReindex(removed, state.now);
    state.teams.shares.setCapacity(state.fleet.capacity());
    state.capacityVersion++;
    state.waiting.unblockAll();
    drainController.updateAll();
    if (wasEmpty && !workers.isEmpty()) {
      refuseUnschedulableJobs();
    }
  }

  private boolean updateWorker(WorkerInfo info) {
    WorkerState w = state.fleet.get(info.id());
    if (w == null) {
      w = new WorkerState(info);
      state.fleet.add(w);
      accountAttempts(w);
    } else if (w.listed && w.info.equals(info)) {
      return false;
    }
    state.fleet.setInfo(w, info);
    w.listed = true;
    w.leaving = info.leaving() || w.reportedLeaving;
    return true;
  }

  private void accountAttempts(WorkerState w) {
    List<TaskState> openAttempts = attemptsByUnlistedWorker.remove(w.info.id());
    if (openAttempts != null) {
      openAttempts.forEach(t -> attempts.accountOnWorker(t, w));
    }
  }

  /** Keeps the attempts on a worker that is no longer listed until their leases have expired. */
  private void addUnlisted(WorkerId id) {
    WorkerState w =
        new WorkerState(new WorkerInfo(id, "", "", "", "", 0, ResourceVector.ZERO, true));
    w.leaving = true;
    state.fleet.add(w);
    accountAttempts(w);
    state.timers.at(
        state.now + LEASE_EXPIRY_MILLIS,
        () -> {
          if (!w.listed && !w.hasReported) {
            reportHandler.handleLost(id);
          }
        });
  }

  private void refuseUnschedulableJobs() {
    AdmissionControl admission = new AdmissionControl(state);
    for (JobState j : List.copyOf(state.jobs.values())) {
      if (!j.phase.isFinal() && !j.mayHaveStarted()) {
        admission
            .unschedulableReason(j.spec)
            .ifPresent(reason -> attempts.lifecycle().end(j, JobPhase.NOT_RUN, reason));
      }
    }
  }
}
