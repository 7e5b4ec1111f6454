package dev.dandelionport.core.health;

/**
 * How often runs on a runner hang, compared with those on all runners. Handles runners that hang
 * some of their tasks and complete the others, so that their failure rate looks good.
 */
public final class FaultEvidence {

  /** Weight that earlier runs keep with each new one; about 33 of them count. */
  private static final double DECAY = 0.97;

  /** Number of runs at the average rate that count in addition to those of the runner. */
  private static final double PRIOR_RUNS = 8;

  /** Bounds of the factor, because the rates are rough. */
  private static final double MIN_FACTOR = 0.1;

  private static final double MAX_FACTOR = 20;

  private double runs;
  private double faults;

  /** Records a run that ended by itself. */
  public void recordRun() {
    runs = DECAY * runs + 1;
    faults *= DECAY;
  }

  /**
   * Records a run that hung.
   *
   * @param weight probability that it was this runner that hung it
   */
  public void recordFault(double weight) {
    runs = DECAY * runs + weight;
    faults = DECAY * faults + weight;
  }

  /** Returns the number of recorded faults, older ones with less weight. */
  public double faults() {
    return faults;
  }

  /** Returns the rate of runs that hang here, given the rate on all runners. */
  public double rate(double averageRate) {
    return (faults + PRIOR_RUNS * averageRate) / (runs + PRIOR_RUNS);
  }

  /** Returns how many times as likely as on an average runner a run hangs here. */
  public double factor(double averageRate) {
    return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, rate(averageRate) / averageRate));
  }

  /** Forgets all runs. */
  public void reset() {
    runs = 0;
    faults = 0;
  }
}
