package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;

/** An action that {@link PartitionScheduler} requests from its caller. */
public sealed interface Effect {

  /**
   * Returns whether the records of the same step must be durable before the effect is carried out.
   */
  boolean afterCommit();

  /** Starts a task on a worker. */
  record StartTask(
      AttemptId attempt, WorkerId worker, String incarnation, JobSpec spec, boolean afterCommit)
      implements Effect {}

  /** Stops an attempt. */
  record StopTask(AttemptId attempt, WorkerId worker) implements Effect {
    @Override
    public boolean afterCommit() {
      return false;
    }
  }

  /** Saves an attempt at a checkpoint and stops it. */
  record CheckpointTask(AttemptId attempt, WorkerId worker) implements Effect {
    @Override
    public boolean afterCommit() {
      return false;
    }
  }

  /** Limits an attempt to a percentage of its processor time. */
  record ThrottleTask(AttemptId attempt, WorkerId worker, int percent) implements Effect {
    @Override
    public boolean afterCommit() {
      return false;
    }
  }

  /** Reports the status of a job to the callers that wait for it. */
  record JobChanged(JobStatus status, boolean afterCommit) implements Effect {}

  /**
   * Requests that the permits of a team in this partition be raised to the number that it has work
   * for.
   */
  record RequestPermits(TeamId team, int wanted) implements Effect {
    @Override
    public boolean afterCommit() {
      return false;
    }
  }

  /** Reports a condition that needs the attention of an operator. */
  record RaiseAlert(AlertCode code, String message) implements Effect {
    @Override
    public boolean afterCommit() {
      return false;
    }
  }
}
