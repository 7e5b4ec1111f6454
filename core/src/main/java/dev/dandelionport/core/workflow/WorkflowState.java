package dev.dandelionport.core.workflow;

/** State of a workflow. */
public enum WorkflowState {
  /** None of its tasks has started. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has used up its allowed failures. */
  FAILED,
  /** It was cancelled by its caller. */
  CANCELLED;

  /** Returns whether the state never changes again. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
