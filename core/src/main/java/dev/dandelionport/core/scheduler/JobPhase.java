package dev.dandelionport.core.scheduler;

/** Phase in the life cycle of a job. */
public enum JobPhase {
  /** Accepted; at least one task has not started. */
  QUEUED,
  /** All tasks started. */
  RUNNING,
  /** All tasks finished and succeeded. */
  SUCCEEDED,
  /** A task failed and will not be retried. */
  FAILED,
  /** Cancelled by its team. */
  CANCELLED,
  /** Never ran and never will. */
  NOT_RUN,
  /** A task that must not run again was lost; it is unknown whether it completed. */
  UNKNOWN;

  /** Returns whether a job in this phase has ended. */
  public boolean isFinal() {
    return this != QUEUED && this != RUNNING;
  }
}
