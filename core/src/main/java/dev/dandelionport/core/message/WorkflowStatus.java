package dev.dandelionport.core.message;

/** Result of a caller's request. */
public enum WorkflowStatus {
  /** The request succeeded; the answer contains the requested state or count. */
  OK,
  /** The queue has no workflow with this id that the caller may access. */
  UNKNOWN_WORKFLOW,
  /** No queue is configured for this host and path. */
  NO_QUEUE,
  /** The API key belongs to no account. */
  NO_ACCOUNT,
  /** The request is malformed. */
  INVALID,
  /** The request is refused for now; it had no effect and will have none. */
  REFUSED,
  /** The receiver does not own the workflows; the request had no effect. */
  NOT_OWNER,
  /** It is unknown whether the request took effect. */
  UNCERTAIN;

  /**
   * Returns whether the answer says that the request had no effect. The receiver knows that only of
   * the message that it answers, not of other messages that carry the same request.
   */
  public boolean deniesEffect() {
    return switch (this) {
      case NO_QUEUE, NO_ACCOUNT, INVALID, REFUSED, NOT_OWNER -> true;
      case OK, UNKNOWN_WORKFLOW, UNCERTAIN -> false;
    };
  }
}
