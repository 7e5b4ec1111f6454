package dev.dandelionport.core.health;

/**
 * Decides whether to stop a run that takes long, so that its task starts on another runner. Weighs
 * the time that a stop saves if the runner hangs against the work that it discards if the task is
 * long: with a heavy tail of the run times, most conspicuous runs end by themselves.
 *
 * @param suspectMillis time that a run of the queue rarely takes
 * @param longestMillis time that hardly a run of the queue takes, not even a long task
 */
public record RestartDecision(double suspectMillis, double longestMillis) {

  /**
   * Minimum probability of a fault. Without a minimum, a run that hangs where that has never been
   * seen would not be stopped; with this one, it is at 4.6 times the longest known time.
   */
  private static final double MIN_PROBABILITY = 0.01;

  /**
   * Exponent with which the number of runs falls that take longer than the longest known one. Long
   * tasks that were stopped are missing in that time, so that it may be too low.
   */
  private static final double TAIL_EXPONENT = 3;

  /** Returns whether a run is conspicuous. */
  public boolean isSuspect(long ranMillis) {
    return ranMillis > suspectMillis;
  }

  /**
   * Returns whether to stop a run.
   *
   * @param ranMillis time since its start
   * @param faultProbability probability that its runner is at fault if the run is conspicuous
   */
  public boolean shouldStop(long ranMillis, double faultProbability) {
    if (!isSuspect(ranMillis)) {
      return false;
    }
    // The whole run time counts as lost: runs that save checkpoints have the lowest probability.
    double p = Math.min(1, Math.max(MIN_PROBABILITY, faultProbability));
    double tail = Math.pow(Math.max(1, ranMillis / longestMillis), TAIL_EXPONENT);
    double fault = p * tail;
    // Beyond the longest time, a run that hangs may take as long again before this is certain.
    double savedTime = ranMillis > longestMillis ? ranMillis : longestMillis - ranMillis;
    return fault * savedTime > (1 - p) * ranMillis;
  }
}
