package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.journal.JournalRecord.AttemptEnded;
import dev.dandelionport.core.journal.JournalRecord.AttemptIntended;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import dev.dandelionport.core.scheduler.WorkerState.Commitment;

/** Starts, stops and ends attempts and updates the totals of workers and teams accordingly. */
final class AttemptManager {

  /** Size of the range of attempt numbers that each epoch uses for a task. */
  private static final int ATTEMPTS_PER_EPOCH = 100;

  /** Time that a checkpoint may take before the attempt is stopped instead, in milliseconds. */
  private static final long CHECKPOINT_TIMEOUT_MILLIS = 2_000;

  /**
   * An attempt that has run for less than this is stopped without a checkpoint, because it has too
   * little progress to save.
   */
  private static final long MIN_CHECKPOINT_RUN_MILLIS = 1_000;

  /** Interval at which a stop is sent again while the worker still lists the attempt. */
  private static final long STOP_RESEND_MILLIS = 500;

  private final SchedulerState state;
  private final JobLifecycle lifecycle;

  AttemptManager(SchedulerState state) {
    this.state = state;
    this.lifecycle = new JobLifecycle(state, this);
  }

  JobLifecycle lifecycle() {
    return lifecycle;
  }

  /**
   * Returns the number of a task's next attempt. Each epoch uses its own range of numbers, because
   * an owner can crash before the record of an attempt is durable: a worker that did not answer
   * during the takeover must not report the end of an earlier attempt under the number of a later
   * one.
   */
  private int nextAttemptNumber(TaskState t) {
    return (int) Math.max(t.attempts + 1L, (state.epoch - 1) * ATTEMPTS_PER_EPOCH + 1);
  }

  /** Starts the next attempt of a task on a worker. */
  void start(TaskState t, WorkerState w) {
    JobState j = t.job;
    state.waiting.remove(t);
    clearNomination(t);
    AttemptId a = new AttemptId(j.spec.key(), t.index, nextAttemptNumber(t));
    t.openAttempt(a, w.info.id(), w.incarnation, state.epoch, state.now);
    account(t, w);
    j.startedMillis = j.startedMillis == 0 ? state.now : j.startedMillis;
    if (j.workloadClass() == WorkloadClass.SERVICE) {
      j.lastRackByDomain.put(w.info.failureDomain(), w.info.rack());
    }
    j.updatePhase();
    state.counters.starts++;
    boolean beforeCommit = j.spec.skipsCommitWait();
    state.addRecord(new AttemptIntended(a, t.worker, t.incarnation, state.epoch, state.now));
    state.addEffect(new Effect.StartTask(a, t.worker, t.incarnation, j.spec, !beforeCommit));
  }

  /** Adds an open attempt to the commitments of its worker and to the totals of its team. */
  void account(TaskState t, WorkerState w) {
    accountOnWorker(t, w);
    accountForTeam(t);
  }

  /** Adds an open attempt to the commitments of its worker. */
  void accountOnWorker(TaskState t, WorkerState w) {
    JobState j = t.job;
    state.fleet.commit(w, new Commitment(t.attempt, j.spec.taskSize(), j.team(), t), state.now);
    if (j.workloadClass() == WorkloadClass.SERVICE) {
      j.tasksByDomain.merge(w.info.failureDomain(), 1, Integer::sum);
    }
  }

  /** Adds an open attempt to the totals of its team. */
  void accountForTeam(TaskState t) {
    TeamUsage u = state.teams.of(t.job.team());
    u.running++;
    u.openTasks.add(t);
    state.teams.shares.add(t.job.team(), t.job.spec.taskSize());
  }

  /**
   * Checkpoints or stops an attempt. Its resources stay committed until the worker no longer runs
   * it.
   */
  void stop(TaskState t, Stopping reason) {
    if (t.attempt == null) {
      return;
    }
    final boolean mayCheckpoint = reason != Stopping.JOB_ENDED && reason != Stopping.GANG_RESTARTS;
    if (t.stopping == null && reason == Stopping.OVER_LIMIT) {
      state.teams.of(t.job.team()).stoppingOverLimit++;
    }
    if (t.stopping == Stopping.OVER_LIMIT && reason != Stopping.OVER_LIMIT) {
      state.teams.of(t.job.team()).stoppingOverLimit--;
    }
    t.stopping = reason;
    if (mayCheckpoint && state.now - t.intendedMillis >= MIN_CHECKPOINT_RUN_MILLIS) {
      state.addEffect(new Effect.CheckpointTask(t.attempt, t.worker));
      t.nextStopMillis = state.now + CHECKPOINT_TIMEOUT_MILLIS;
    } else {
      state.addEffect(new Effect.StopTask(t.attempt, t.worker));
      t.nextStopMillis = state.now + STOP_RESEND_MILLIS;
    }
    if (mayCheckpoint) {
      state.counters.preemptions++;
    }
    WorkerState w = state.fleet.get(t.worker);
    if (w != null) {
      state.fleet.reindex(w, state.now);
    }
  }

  /**
   * Sends a stop again if it is due; the first one may have been lost or may have arrived before
   * the start.
   */
  void resendStop(TaskState t) {
    if (state.now >= t.nextStopMillis) {
      t.nextStopMillis = state.now + STOP_RESEND_MILLIS;
      state.addEffect(new Effect.StopTask(t.attempt, t.worker));
    }
  }

  /** Handles the end of an attempt; ignores one that is not the current attempt of its task. */
  void handleEnd(AttemptId a, AttemptOutcome reported, String result) {
    TaskState t = state.currentTask(a);
    if (t == null) {
      return;
    }
    boolean stopRequested = t.stopping != null;
    boolean stopped = reported == AttemptOutcome.STOPPED || reported == AttemptOutcome.CHECKPOINTED;
    AttemptOutcome outcome = stopped && !stopRequested ? AttemptOutcome.FAILED : reported;
    releaseResources(t);
    updateWorkerHealth(t, outcome);
    if (outcome == AttemptOutcome.SUCCEEDED) {
      state.runTimes.addSample(t.job.spec, t.savedMillis + t.elapsedMillis(state.now));
    }
    t.refusals = outcome == AttemptOutcome.NEVER_STARTED ? t.refusals + 1 : 0;
    t.refusedBy = outcome == AttemptOutcome.NEVER_STARTED ? t.worker : null;
    t.endAttempt(outcome, result, state.now);
    state.addRecord(new AttemptEnded(a, outcome, result, state.now));
    lifecycle.attemptEnded(t, a, outcome, result);
  }

  private void releaseResources(TaskState t) {
    JobState j = t.job;
    TeamUsage u = state.teams.of(j.team());
    u.running--;
    u.openTasks.remove(t);
    if (t.stopping == Stopping.OVER_LIMIT) {
      u.stoppingOverLimit--;
    }
    state.teams.shares.remove(j.team(), j.spec.taskSize());
    WorkerState w = state.fleet.get(t.worker);
    if (w != null) {
      state.fleet.release(w, t.attempt, state.now);
      if (j.workloadClass() == WorkloadClass.SERVICE) {
        j.tasksByDomain.merge(w.info.failureDomain(), -1, Integer::sum);
      }
      state.capacityFreed(w);
    }
  }

  private void updateWorkerHealth(TaskState t, AttemptOutcome outcome) {
    WorkerState w = state.fleet.get(t.worker);
    boolean showsWorkerHealth =
        outcome == AttemptOutcome.SUCCEEDED
            || outcome == AttemptOutcome.FAILED
            || outcome == AttemptOutcome.NEVER_STARTED && t.notAfterWorkerMillis != 0;
    // A task that also failed on another worker is no evidence that this worker is faulty.
    boolean failedElsewhere = !t.failedOn.isEmpty() && !t.failedOn.contains(t.worker);
    if (w == null || !showsWorkerHealth || outcome == AttemptOutcome.FAILED && failedElsewhere) {
      return;
    }
    boolean wasHeldBack = w.health.isHeldBack();
    String name = w.info.id().value();
    if (w.health.recordOutcome(outcome != AttemptOutcome.SUCCEEDED, name, state.now)) {
      String rate = String.format("%.2f", w.health.failureRate());
      state.addEffect(
          new Effect.RaiseAlert(
              AlertCode.WORKER_FAILS, "worker " + name + " is held back, failure rate " + rate));
    } else if (wasHeldBack && !w.health.isHeldBack()) {
      state.addEffect(
          new Effect.RaiseAlert(AlertCode.WORKER_RECOVERED, "worker " + name + " is used again"));
    }
    state.workerChanged(w);
    if (w.health.isHeldBack()) {
      state.timers.at(w.health.probeAtMillis(), () -> state.workerChanged(w));
    }
  }

  /** Cancels the nomination of a worker for a task and releases the capacity held there for it. */
  void clearNomination(TaskState t) {
    WorkerState w = state.fleet.get(t.nominatedWorker);
    t.nominatedWorker = null;
    if (w != null) {
      w.nominatedCapacity = w.nominatedCapacity.minus(t.job.spec.taskSize());
      state.fleet.reindex(w, state.now);
    }
  }
}
