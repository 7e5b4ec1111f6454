package dev.dandelionport.core.message;

/** Operation that a caller requests on a workflow or a queue. */
public enum WorkflowCallKind {
  /** Submit a workflow. */
  SUBMIT,
  /** Return the state of a workflow, or the number of waiting workflows of a queue. */
  READ,
  /** Cancel a workflow. */
  CANCEL
}
