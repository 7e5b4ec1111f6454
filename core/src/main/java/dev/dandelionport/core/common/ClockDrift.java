package dev.dandelionport.core.common;

/** Allowance for clocks that run at different speeds. */
public final class ClockDrift {

  /** A clock gains or loses at most one part in this many; NTP slews by at most 500 ppm. */
  private static final long MAX_DRIFT_DIVISOR = 1_000;

  private ClockDrift() {}

  /**
   * Returns the least that has passed on another clock while {@code elapsed} has passed on this
   * one, in the unit of {@code elapsed}; negative for a time in the past.
   */
  public static long minElapsed(long elapsed) {
    return elapsed - Math.abs(elapsed) / MAX_DRIFT_DIVISOR;
  }
}
