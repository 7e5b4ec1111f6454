package dev.dandelionport.core.message;

/** What a caller wants of a workflow or a queue. */
public enum WorkflowCallKind {
  /** Hand a workflow in. */
  SUBMIT,
  /** Ask for the state of a workflow, or for the waiting workflows of a queue. */
  READ,
  /** Cancel a workflow. */
  CANCEL
}
