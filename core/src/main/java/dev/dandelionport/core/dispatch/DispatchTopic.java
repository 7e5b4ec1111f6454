package dev.dandelionport.core.dispatch;

/** Kinds of events that an instance reports to its observer. */
public enum DispatchTopic {
  OWNER_CLAIMED,
  OWNER_SERVING,
  /** Load of the owner, reported at a fixed interval. */
  OWNER_LOAD,
  OWNER_LOST,
  OWNER_CHANGED,
  HAND_OVER_OFFERED,
  POLICY_IN_FORCE,
  DOMAINS_CLOSED,
  STORE_CALL_FAILED,
  STORE_OUTAGE_BEGAN,
  STORE_OUTAGE_ENDED,
  RUNNER_SILENT,
  RUNNER_ANSWERED_AGAIN,
  RUNNER_LEASES_EXPIRED,
  BATCH_SLOW,
  SNAPSHOT_WRITTEN,
  REQUEST_REFUSED,
  ENTRY_IGNORED,
  /** A decision of the scheduler; its fields describe which one. */
  DECISION
}
