package dev.dandelionport.core.dispatch;

/** What an instance reports about itself. */
public enum DispatchTopic {
  OWNER_CLAIMED,
  OWNER_OPEN,
  /** How busy the owner is, at regular times. */
  OWNER_LOAD,
  OWNER_LOST,
  OWNER_SEEN,
  OWNER_OFFERED,
  POLICY_IN_FORCE,
  DOMAINS_CLOSED,
  STORE_CALL_FAILED,
  STORE_LOST,
  STORE_BACK,
  RUNNER_SILENT,
  RUNNER_BACK,
  RUNNER_LAPSED,
  BATCH_SLOW,
  SNAPSHOT,
  REQUEST_REFUSED,
  ENTRY_IGNORED,
  /** A decision of the scheduler; its fields say which. */
  DECISION
}
