package dev.dandelionport.core.message;

/** What became of a caller's request. */
public enum WorkflowStatus {
  /** Done; the answer has the state or the count that was asked for. */
  OK,
  /** No such workflow is known. */
  UNKNOWN_WORKFLOW,
  /** No queue has this host and path. */
  NO_QUEUE,
  /** The key belongs to no account. */
  NO_ACCOUNT,
  /** The request is malformed. */
  INVALID,
  /** Refused for now; nothing was done and nothing will be. */
  REFUSED,
  /** The receiver does not own the workflows; nothing was done. */
  NOT_OWNER,
  /** Whether the request was carried out is not known. */
  UNCERTAIN
}
