package dev.dandelionport.core.dispatch;

/**
 * A reading of a runner's clock, which may be up to 2 % slow. A runner that restarts has a new
 * clock, which may show any time at first. When the runner took the reading is known up to an
 * interval.
 *
 * @param clockMillis what the clock showed, in milliseconds
 * @param earliestMillis earliest time of the reading, on the owner's monotonic clock
 * @param latestMillis latest time of the reading, on the owner's monotonic clock
 */
record RunnerClock(long clockMillis, long earliestMillis, long latestMillis) {

  /** Lowest rate of a runner's clock relative to the clock of this instance. */
  static final double MIN_RATE = 0.98;

  /** Highest rate; allows for the deviation of two clocks that both keep time. */
  private static final double MAX_RATE = 1.001;

  /** Allowance for the rounding of times, in milliseconds. */
  private static final long ROUNDING_MILLIS = 2;

  /** Returns the lowest time that the clock may show at {@code millis}. */
  long lowestAt(long millis) {
    long elapsed = millis - latestMillis;
    return clockMillis + (long) Math.floor(elapsed * (elapsed > 0 ? MIN_RATE : MAX_RATE));
  }

  /** Returns whether {@code next} was certainly taken later. */
  boolean isBefore(RunnerClock next) {
    return next.earliestMillis >= latestMillis;
  }

  /** Returns whether {@code next} cannot be a reading of the same clock. */
  boolean isContradictedBy(RunnerClock next) {
    RunnerClock r = next.narrowedBy(this);
    return r.earliestMillis - r.latestMillis > ROUNDING_MILLIS;
  }

  /**
   * Returns this reading with the interval that remains if {@code other} is a reading of the same
   * clock.
   */
  RunnerClock narrowedBy(RunnerClock other) {
    double progress = clockMillis - other.clockMillis;
    double shortest = progress / (progress > 0 ? MAX_RATE : MIN_RATE);
    double longest = progress / (progress > 0 ? MIN_RATE : MAX_RATE);
    return new RunnerClock(
        clockMillis,
        Math.max(earliestMillis, other.earliestMillis + (long) Math.floor(shortest)),
        Math.min(latestMillis, other.latestMillis + (long) Math.ceil(longest)));
  }
}
