package dev.dandelionport.core.journal;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.scheduler.AttemptOutcome;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.scheduler.JobSpec;
import java.util.List;

/**
 * A durable record of an event of a job. Replaying all records of a partition restores its jobs.
 */
public sealed interface JournalRecord {

  /** Returns the job that the record belongs to. */
  JobKey job();

  /** The job was accepted. */
  record JobAccepted(JobSpec spec, long atMillis) implements JournalRecord {
    @Override
    public JobKey job() {
      return spec.key();
    }
  }

  /** An attempt is about to be sent to a worker. */
  record AttemptIntended(
      AttemptId attempt, WorkerId worker, String incarnation, long epoch, long atMillis)
      implements JournalRecord {
    @Override
    public JobKey job() {
      return attempt.job();
    }
  }

  /** An attempt ended. */
  record AttemptEnded(AttemptId attempt, AttemptOutcome outcome, String result, long atMillis)
      implements JournalRecord {
    @Override
    public JobKey job() {
      return attempt.job();
    }
  }

  /**
   * Progress of a task. A snapshot stores it in place of the records of the task's attempts.
   *
   * @param attempts number of the latest attempt
   * @param failures attempts that failed
   * @param losses attempts that were lost
   * @param failedOn workers on which an attempt failed
   * @param started whether an attempt may have run
   * @param done whether the task succeeded
   * @param result result of the task if it succeeded
   * @param jobStartedMillis start time of the job's first task, 0 if none has started
   * @param savedMillis run time preserved by checkpoints; 0 in records written by older versions
   */
  record TaskProgress(
      JobKey job,
      int task,
      int attempts,
      int failures,
      int losses,
      List<WorkerId> failedOn,
      boolean started,
      boolean done,
      String result,
      long jobStartedMillis,
      long savedMillis)
      implements JournalRecord {

    /** Copies the list. */
    public TaskProgress {
      failedOn = List.copyOf(failedOn);
    }
  }

  /** The job reached a final phase. */
  record JobEnded(JobKey job, JobPhase phase, String reason, long atMillis)
      implements JournalRecord {}

  /** A finished job was removed because its retention time has passed. */
  record JobForgotten(JobKey job) implements JournalRecord {}
}
