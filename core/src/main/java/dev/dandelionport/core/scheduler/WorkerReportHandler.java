package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import dev.dandelionport.core.scheduler.WorkerState.Commitment;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Compares the attempts that a worker reports with those that should run on it. */
final class WorkerReportHandler {
  private final SchedulerState state;
  private final AttemptManager attempts;
  private final UnrecordedAttempts unrecordedAttempts;
  private final DrainController drainController;

  WorkerReportHandler(
      SchedulerState state,
      AttemptManager attempts,
      UnrecordedAttempts unrecorded,
      DrainController drainController) {
    this.state = state;
    this.attempts = attempts;
    this.unrecordedAttempts = unrecorded;
    this.drainController = drainController;
  }

  void handleReport(WorkerId id, SyncReply reply) {
    WorkerState w = state.fleet.get(id);
    if (w == null) {
      return;
    }
    final boolean changed =
        !w.hasReported
            || w.unresponsive
            || w.reportedLeaving != reply.leaving()
            || !w.incarnation.equals(reply.incarnation());
    w.hasReported = true;
    w.unresponsive = false;
    w.incarnation = reply.incarnation();
    w.reportedLeaving = reply.leaving();
    w.leaving = !w.listed || w.info.leaving() || reply.leaving();
    for (SyncReply.Finished f : reply.finished()) {
      unrecordedAttempts.handleResult(w, f);
      attempts.handleEnd(f.attempt(), f.outcome(), f.result());
    }
    Set<AttemptId> running = new HashSet<>();
    reply.running().forEach(r -> running.add(r.attempt()));
    for (Commitment c : List.copyOf(w.committed.values())) {
      if (!running.contains(c.attempt())) {
        handleAbsent(w, c, reply);
      }
    }
    for (SyncReply.Running r : reply.running()) {
      handlePresent(w, r);
    }
    if (changed) {
      state.workerChanged(w);
      drainController.update(w);
    }
  }

  private void handleAbsent(WorkerState w, Commitment c, SyncReply reply) {
    TaskState t = c.task();
    if (t == null) {
      unrecordedAttempts.handleAbsent(w, c);
    } else if (!t.incarnation.equals(reply.incarnation())) {
      attempts.handleEnd(c.attempt(), AttemptOutcome.LOST, "worker restarted");
    } else if (t.reportedRunning) {
      attempts.handleEnd(c.attempt(), AttemptOutcome.LOST, "attempt ended without a result");
    } else if (t.epoch < state.epoch || startExpired(t, reply)) {
      attempts.handleEnd(c.attempt(), AttemptOutcome.NEVER_STARTED, "start did not arrive");
    }
  }

  private static boolean startExpired(TaskState t, SyncReply reply) {
    return t.notAfterWorkerMillis != 0 && reply.workerClockMillis() > t.notAfterWorkerMillis;
  }

  private void handlePresent(WorkerState w, SyncReply.Running running) {
    TaskState t = state.currentTask(running.attempt());
    if (t == null || !w.info.id().equals(t.worker)) {
      unrecordedAttempts.handleRunning(w, running);
      return;
    }
    t.reportedRunning = true;
    JobState j = t.job;
    boolean jobEnded = j.phase == JobPhase.CANCELLED || j.phase.isFinal() && j.spec.repeatable();
    if (t.stopping != null) {
      attempts.resendStop(t);
    } else if (jobEnded) {
      attempts.stop(t, Stopping.JOB_ENDED);
    }
  }

  void handleLost(WorkerId id) {
    WorkerState w = state.fleet.get(id);
    if (w == null) {
      return;
    }
    w.hasReported = false;
    state.workerChanged(w);
    for (Commitment c : List.copyOf(w.committed.values())) {
      if (c.task() == null) {
        unrecordedAttempts.handleAbsent(w, c);
      } else {
        attempts.handleEnd(c.attempt(), AttemptOutcome.LOST, "worker lost");
      }
    }
  }

  void handleUnresponsive(WorkerId id) {
    WorkerState w = state.fleet.get(id);
    if (w != null && !w.unresponsive) {
      w.unresponsive = true;
      state.workerChanged(w);
    }
  }
}
