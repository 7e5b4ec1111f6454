package dev.dandelionport.core.common;

/** Allowance for clocks that run at different rates. */
public final class ClockDrift {

  /**
   * The drift between two clocks is at most the elapsed time divided by this; NTP slews by at most
   * 500 ppm.
   */
  private static final long MAX_DRIFT_DIVISOR = 1_000;

  private ClockDrift() {}

  /**
   * Returns the minimum time that passes on another clock while {@code elapsed} passes on this one,
   * in the unit of {@code elapsed}; negative for a time in the past.
   */
  public static long minElapsed(long elapsed) {
    return elapsed - Math.abs(elapsed) / MAX_DRIFT_DIVISOR;
  }
}
