package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.ArrayList;
import java.util.List;

/** One task of a job and its current attempt. */
final class TaskState {

  /** Why an attempt is stopped. */
  enum Stopping {
    /** Its job has ended. */
    JOB_ENDED,
    /** All unfinished tasks of its gang restart. */
    GANG_RESTARTS,
    /** Urgent work needs the capacity. */
    MAKE_ROOM,
    /** Its team is over its limit. */
    OVER_LIMIT,
    /** Its team is over its share while another one waits. */
    OVER_SHARE,
    /** Its worker or failure domain is being taken out of service. */
    DRAIN,
    /** It uses capacity reserved for a gang that can start now. */
    RESERVATION
  }

  final JobState job;
  final int index;

  // The following fields are restored from the journal.
  int attempts;
  int failures;
  int losses;
  boolean started;
  boolean done;
  String result = "";

  /** Run time saved by checkpoints, in milliseconds; the next attempt continues from it. */
  long savedMillis;

  /**
   * Workers on which an attempt failed. Failures count against the job only once several workers
   * report them.
   */
  final List<WorkerId> failedOn = new ArrayList<>(0);

  /** The attempt that may be running; null while the task waits. */
  AttemptId attempt;

  WorkerId worker;
  String incarnation = "";

  /** Epoch of the owner that started the attempt. */
  long epoch;

  /** When the start of the attempt was decided, milliseconds since the epoch. */
  long intendedMillis;

  // The following fields are not stored; a new owner starts without them.

  /** Time on the clock of the worker after which it refuses the start; 0 while unknown. */
  long notAfterWorkerMillis;

  /** Whether the worker has reported the attempt as running to this owner. */
  boolean reportedRunning;

  /** Why the attempt is being stopped; null if it is not. */
  Stopping stopping;

  /** When the stop is sent again if the attempt still runs, milliseconds since the epoch. */
  long nextStopMillis;

  boolean throttled;

  /** Whether the attempt uses capacity reserved for a gang. */
  boolean backfill;

  /** Worker on which capacity is being freed for the task; null if none. */
  WorkerId nominatedWorker;

  /** Consecutive starts that were refused. */
  int refusals;

  /** Worker that refused the latest attempt; null if none did. */
  WorkerId refusedBy;

  /** Whether the task is in the list of startable tasks of its job. */
  boolean startable;

  /** When the task may be retried; 0 if it does not wait for a backoff. */
  long retryAtMillis;

  TaskState(JobState job, int index) {
    this.job = job;
    this.index = index;
  }

  /** Returns the workers that the next attempt avoids if another one has capacity. */
  List<WorkerId> workersToAvoid() {
    if (refusedBy == null || failedOn.contains(refusedBy)) {
      return failedOn;
    }
    List<WorkerId> all = new ArrayList<>(failedOn);
    all.add(refusedBy);
    return all;
  }

  /** Returns how long the current attempt has run, in milliseconds. */
  long elapsedMillis(long atMillis) {
    return attempt == null ? 0 : Math.max(0, atMillis - intendedMillis);
  }

  /** Returns whether the attempt may be stopped for other work and continued later. */
  boolean isPreemptible() {
    return attempt != null
        && stopping == null
        && job.spec.repeatable()
        && job.workloadClass() == WorkloadClass.DEFERRABLE;
  }

  boolean isWaiting() {
    return !done && attempt == null;
  }

  void openAttempt(
      AttemptId a, WorkerId w, String workerIncarnation, long ownerEpoch, long atMillis) {
    job.openAttempts += attempt == null ? 1 : 0;
    attempts = a.attempt();
    attempt = a;
    worker = w;
    incarnation = workerIncarnation;
    epoch = ownerEpoch;
    intendedMillis = atMillis;
  }

  /** Marks the task as done. */
  void markDone(String taskResult) {
    job.doneTasks += done ? 0 : 1;
    done = true;
    result = taskResult;
  }

  /**
   * Applies the end of the current attempt. Replaying the record of the end has the same result.
   */
  void endAttempt(AttemptOutcome outcome, String attemptResult, long atMillis) {
    switch (outcome) {
      case SUCCEEDED -> {
        markDone(attemptResult);
      }
      case FAILED -> {
        failures++;
        if (worker != null && !failedOn.contains(worker)) {
          failedOn.add(worker);
        }
      }
      case LOST -> losses++;
      case CHECKPOINTED -> savedMillis += elapsedMillis(atMillis);
      default -> {
        // Neither progress of the task nor a failure of the job.
      }
    }
    started |= outcome != AttemptOutcome.NEVER_STARTED;
    job.attemptMayHaveRun |= started;
    job.openAttempts -= attempt == null ? 0 : 1;
    attempt = null;
    worker = null;
    incarnation = "";
    notAfterWorkerMillis = 0;
    reportedRunning = false;
    stopping = null;
    throttled = false;
    backfill = false;
  }
}
