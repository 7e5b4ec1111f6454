package dev.dandelionport.core.dispatch;

/** Kinds of events that an instance reports to its observer. */
public enum DispatchTopic {
  /** This instance has claimed the ownership and read the history. */
  OWNER_CLAIMED,
  OWNER_SERVING,
  /** Load of the owner, reported at a fixed interval. */
  OWNER_LOAD,
  OWNER_LOST,
  OWNER_CHANGED,
  HAND_OVER_OFFERED,
  /** The store does not serve the owner, which therefore asks another instance to take over. */
  SUBSTITUTE_REQUESTED,
  /** A newer configuration was applied. */
  POLICY_IN_FORCE,
  DOMAINS_CLOSED,
  STORE_CALL_FAILED,
  STORE_OUTAGE_BEGAN,
  STORE_OUTAGE_ENDED,
  /** Two consecutive calls to a runner failed, so it gets no work until it answers. */
  RUNNER_SILENT,
  RUNNER_ANSWERED_AGAIN,
  RUNNER_LEASES_EXPIRED,
  /** A runner's clock was behind the time that the owner assumed, so a lease is too long. */
  RUNNER_LEASE_TOO_LONG,
  BATCH_SLOW,
  SNAPSHOT_WRITTEN,
  /** This instance refused a request as its owner. */
  REQUEST_REFUSED,
  /**
   * A client's request to this instance was not answered as OK, or only after several attempts; its
   * fields are those of {@link AnsweredRequest}.
   */
  REQUEST_ANSWERED,
  /** An action failed with an unexpected exception; what follows it goes on. */
  ACTION_FAILED,
  /** A store entry cannot be decoded. */
  ENTRY_IGNORED,
  /** A decision of the scheduler; its fields describe which one. */
  DECISION
}
