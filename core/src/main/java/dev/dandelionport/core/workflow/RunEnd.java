package dev.dandelionport.core.workflow;

/** How a run of a task ended. */
public enum RunEnd {
  /** The task completed successfully. */
  DONE,
  /** It failed, because of the task or of its runner. */
  FAILED,
  /** It was stopped on request. */
  STOPPED,
  /** Its lease expired. */
  LAPSED,
  /** Another member of its gang ended. */
  BROKEN,
  /** It timed out waiting for the other members of its gang. */
  ALONE,
  /** Its runner no longer has it and did not report its end. */
  LOST,
  /** It certainly never started. */
  NEVER_STARTED
}
