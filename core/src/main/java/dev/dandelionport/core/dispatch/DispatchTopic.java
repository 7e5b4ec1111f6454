package dev.dandelionport.core.dispatch;

/** What an instance reports about itself. */
public enum DispatchTopic {
  OWNER_CLAIMED,
  OWNER_SERVING,
  /** How busy the owner is, at regular times. */
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
  /** A decision of the scheduler; its fields say which. */
  DECISION
}
