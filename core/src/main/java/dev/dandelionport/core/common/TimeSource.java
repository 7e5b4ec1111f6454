package dev.dandelionport.core.common;

/** The clocks of the process; tests substitute virtual time. */
public interface TimeSource {

  /**
   * Returns the wall-clock time in milliseconds since the Unix epoch, for deadlines set by callers.
   */
  long wallMillis();

  /** Returns the time of a monotonic clock in nanoseconds, for leases and timeouts. */
  long monotonicNanos();
}
