package dev.dandelionport.core.workflow;

/** Where a workflow is in its life. */
public enum WorkflowState {
  /** None of its tasks has started. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task failed too often. */
  FAILED,
  /** Its caller cancelled it. */
  CANCELLED;

  /** Returns whether nothing more will start. */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
