package dev.dandelionport.core.workflow;

/** How a run of a task ended. */
public enum RunEnd {
  /** The task is done. */
  DONE,
  /** It failed, through its own or its runner's fault. */
  FAILED,
  /** It was told to stop. */
  STOPPED,
  /** Its lease ran out. */
  LAPSED,
  /** Another member of its gang ended. */
  BROKEN,
  /** It waited too long for the other members of its gang. */
  ALONE,
  /** Its runner no longer has it and reported no end. */
  LOST,
  /** It certainly never started. */
  NEVER_STARTED
}
