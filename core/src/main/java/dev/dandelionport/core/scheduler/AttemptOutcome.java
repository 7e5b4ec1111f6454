package dev.dandelionport.core.scheduler;

/** How an attempt ended. */
public enum AttemptOutcome {
  /** The task finished and returned a result. */
  SUCCEEDED,
  /** The task ran and failed. */
  FAILED,
  /** The task was stopped on request. */
  STOPPED,
  /** The task was saved at a checkpoint and stopped. */
  CHECKPOINTED,
  /** It is certain that the worker never ran the task. */
  NEVER_STARTED,
  /** The worker was lost, or its task lease expired, while the attempt ran. */
  LOST
}
