package dev.dandelionport.core.workflow;

/**
 * How a runner answered a start. All but {@link #PRESENT} and {@link #UNKNOWN} mean: not started.
 */
public enum StartResult {
  /** The run is there. */
  PRESENT,
  /** A newer owner gives orders to this runner. */
  FENCED,
  /** The run's number is not higher than one that was stopped or has ended there. */
  OLD,
  /** The lease had run out when the start arrived. */
  LATE,
  /** The runner has no room. */
  NO_ROOM,
  /** The ticket is not valid. */
  NO_TICKET,
  /** The runner does not take work at present. */
  UNHEALTHY,
  /** Another life of the runner answered. */
  OTHER_LIFE,
  /** The runner does not accept the order as it is. */
  INVALID,
  /** No answer came; the start may still be carried out. */
  UNKNOWN
}
