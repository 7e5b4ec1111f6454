package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.ArrayList;
import java.util.List;

/** One task of a job and its current attempt. */
final class TaskState {

  /** Why an attempt was told to end. */
  enum Stopping {
    /** Its job is over. */
    JOB_ENDED,
    /** Its gang starts again as a whole. */
    GANG_RESTARTS,
    /** Urgent work needs the room. */
    MAKE_ROOM,
    /** Its team is over its limit. */
    OVER_LIMIT,
    /** Its team is over its share while another one waits. */
    OVER_SHARE,
    /** Its worker or failure domain is being taken out of service. */
    DRAIN,
    /** It was placed on room reserved for a gang that is ready now. */
    RESERVATION
  }

  final JobState job;
  final int index;

  // Rebuilt from the journal.
  int attempts;
  int failures;
  int losses;
  boolean started;
  boolean done;
  String result = "";

  /** Run time that checkpoints have saved, in milliseconds; the next attempt continues from it. */
  long savedMillis;

  /** Workers on which an attempt failed; the job is blamed only once several agree. */
  final List<WorkerId> failedOn = new ArrayList<>(0);

  /** The attempt that may be running; null while the task waits. */
  AttemptId attempt;

  WorkerId worker;
  String incarnation = "";

  /** Epoch under which the attempt was sent. */
  long epoch;

  /** When the attempt was intended, milliseconds since the epoch. */
  long intendedMillis;

  // Known to this owner only.

  /** Time on the worker's clock after which the start is refused; 0 while that is not known. */
  long notAfterWorkerMillis;

  /** Whether a worker has listed the attempt as running to this owner. */
  boolean reportedRunning;

  /** Why the attempt was told to end; null if it was not. */
  Stopping stopping;

  /** When a stop is sent again if the attempt still runs, milliseconds since the epoch. */
  long nextStopMillis;

  boolean throttled;

  /** Whether it runs on room reserved for a gang. */
  boolean backfill;

  /** Worker on which room is being made for the task; null if none. */
  WorkerId nominatedWorker;

  /** Consecutive starts that were refused. */
  int refusals;

  /** Worker that refused the latest attempt; null if none did. */
  WorkerId refusedBy;

  /** Whether the task is in its job's list of tasks that may start. */
  boolean startable;

  /** When the task may be tried again; 0 if it is not held back. */
  long retryAtMillis;

  TaskState(JobState job, int index) {
    this.job = job;
    this.index = index;
  }

  /** Returns the workers that the next attempt avoids if another one has room. */
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

  /** Returns whether the attempt may be ended and continued later, for other work. */
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

  /** Notes that the task is done. */
  void markDone(String taskResult) {
    job.doneTasks += done ? 0 : 1;
    done = true;
    result = taskResult;
  }

  /** Notes the end of the current attempt; the same on replay as when it happened. */
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
        // Neither progress nor a fault of the job.
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
