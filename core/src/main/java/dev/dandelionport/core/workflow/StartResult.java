package dev.dandelionport.core.workflow;

/**
 * Result of a start order. All values except {@link #PRESENT} and {@link #UNKNOWN} mean that the
 * run was not started.
 */
public enum StartResult {
  /** The runner has the run. */
  PRESENT,
  /** The runner already takes orders from a newer owner. */
  FENCED,
  /**
   * The run number is not higher than that of a run of the task that was stopped or has ended on
   * the runner.
   */
  OLD,
  /** The start arrived after the end of its lease. */
  LATE,
  /** The runner has too little free capacity. */
  NO_ROOM,
  /** The ticket is not valid. */
  NO_TICKET,
  /** The runner currently accepts no work. */
  UNHEALTHY,
  /** Another incarnation of the runner answered. */
  OTHER_LIFE,
  /** The runner rejected the order as malformed. */
  INVALID,
  /** There was no answer; the start may still be carried out. */
  UNKNOWN
}
