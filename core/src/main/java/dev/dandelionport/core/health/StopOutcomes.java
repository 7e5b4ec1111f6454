package dev.dandelionport.core.health;

/**
 * Why runs of a queue take conspicuously long: how often their runner was at fault, and how often
 * the task itself was long. Tells apart a load with a heavy tail from one on hanging runners.
 */
public final class StopOutcomes {

  /** Weight that earlier outcomes keep with each new one; about 20 of them count. */
  private static final double DECAY = 0.95;

  /** Number of outcomes that those of the other queues count as. */
  private static final double PRIOR_OUTCOMES = 2;

  private final StopOutcomes all;
  private double faults;
  private double longTasks;

  /** Creates the outcomes of all queues. */
  public StopOutcomes() {
    this(null);
  }

  /** Creates the outcomes of a queue; until it has some, those of all queues apply. */
  public StopOutcomes(StopOutcomes all) {
    this.all = all;
  }

  /** Records a stopped run whose task took the usual time on another runner. */
  public void recordFault() {
    faults = DECAY * faults + 1;
    longTasks *= DECAY;
    if (all != null) {
      all.recordFault();
    }
  }

  /** Records a run that took as long as a stuck one, but ended by itself, or was stuck again. */
  public void recordLongTask() {
    faults *= DECAY;
    longTasks = DECAY * longTasks + 1;
    if (all != null) {
      all.recordLongTask();
    }
  }

  /**
   * Returns the probability that the runner of a conspicuous run is at fault.
   *
   * @param runnerFactor how many times as likely as on an average runner a fault is on this one
   */
  public double faultProbability(double runnerFactor) {
    double prior = all == null ? 0.5 : all.faultProbability(1);
    // The prior outcomes remain, so that a single kind of outcome never rules out the other.
    double odds = (faults + PRIOR_OUTCOMES * prior) / (longTasks + PRIOR_OUTCOMES * (1 - prior));
    return odds * runnerFactor / (1 + odds * runnerFactor);
  }

  /**
   * Returns the probability that the runner of a conspicuous run is at fault although the task was
   * conspicuous on another runner before: then either that runner was at fault as well, or the task
   * is long.
   *
   * @param faultRate share of the runs that hang on this runner
   */
  public double repeatedFaultProbability(double faultRate) {
    double odds = faultProbability(1) / (1 - faultProbability(1)) * faultRate;
    return odds / (1 + odds);
  }
}
