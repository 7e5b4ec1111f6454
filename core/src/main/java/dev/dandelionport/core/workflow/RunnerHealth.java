package dev.dandelionport.core.workflow;

import dev.dandelionport.core.health.FailureRating;
import dev.dandelionport.core.health.FaultEvidence;
import dev.dandelionport.core.health.FlapDetector;
import dev.dandelionport.core.health.SpeedRatio;

/**
 * Rates a runner by the outcomes of its runs: how often they fail, how often they hang, and how
 * long they take compared with the expected run time. A runner on which nearly all runs fail, or
 * several hang, is quarantined (held back, in the log): it gets no runs for a while, then single
 * runs as probes until enough of them succeed.
 */
final class RunnerHealth {

  /** Weight of the latest outcome in the failure rate; three failures in a row reach 0.66. */
  private static final double FAILURE_WEIGHT = 0.3;

  /** Failure rate from which a runner is quarantined. */
  private static final double MAX_FAILURE_RATE = 0.6;

  private static final long MIN_QUARANTINE_MILLIS = 1_000;
  private static final long MAX_QUARANTINE_MILLIS = 8_000;

  /** Time without a probe after which the quarantine of a runner that may be probed ends. */
  private static final long PROBE_WAIT_MILLIS = 2_000;

  /** Number of suspected hangs without a completed run between them that count as faults. */
  private static final int MAX_SUSPICIONS = 3;

  /** Weight of the recorded faults from which a runner is quarantined for hanging. */
  private static final double MAX_FAULTS = 1.5;

  /**
   * Successful probes that end the quarantine of a runner that hangs some of its tasks; a runner
   * that hangs a third of them passes three with a probability of 0.3.
   */
  private static final int HANGING_PROBES = 3;

  /** Bound of the speed ratio in the cost, because a single ratio may be far off. */
  private static final double MAX_SPEED_RATIO = 10;

  /** Cost of the share of runs that hang; a hung run takes about three times the usual time. */
  private static final double HANG_COST = 4;

  private final FailureRating failures =
      new FailureRating(
          FAILURE_WEIGHT, MAX_FAILURE_RATE, MIN_QUARANTINE_MILLIS, MAX_QUARANTINE_MILLIS);
  private final SpeedRatio speed = new SpeedRatio();
  private final FlapDetector starts;
  private final FaultEvidence faults = new FaultEvidence();
  private int suspicions;
  private long quarantineEndMillis;
  private boolean quarantined;
  private int neededProbes;
  private int activeProbes;

  /**
   * Creates the rating of an incarnation of a runner.
   *
   * @param starts starts of the runner, over all of its incarnations
   */
  RunnerHealth(FlapDetector starts) {
    this.starts = starts;
  }

  /**
   * Records a run that succeeded. It ends the quarantine, unless the runner has hung several tasks:
   * then a number of probes has to succeed.
   */
  void recordSuccess(boolean probe) {
    failures.record(false);
    faults.recordRun();
    suspicions = 0;
    if (quarantined && neededProbes > 1) {
      neededProbes -= probe ? 1 : 0;
      activeProbes -= probe && activeProbes > 0 ? 1 : 0;
      return;
    }
    release();
    if (faults.faults() < MAX_FAULTS) {
      failures.resetHolds();
    }
  }

  private void release() {
    quarantined = false;
    neededProbes = 0;
    activeProbes = 0;
  }

  /** Records the ratio of a run's time to the expected time of its queue. */
  void recordSpeed(double ratio) {
    speed.add(Math.min(ratio, MAX_SPEED_RATIO));
  }

  /** Records a failure that the runner may have caused. A failed probe renews the quarantine. */
  void recordFailure(long now, boolean probe) {
    if (failures.record(true) || probe) {
      quarantine(now);
    }
  }

  /**
   * Records that a run was stopped as stuck.
   *
   * @param likely whether this runner is more likely at fault than the task
   */
  void recordSuspicion(long now, boolean likely, boolean probe) {
    suspicions++;
    if (suspicions >= MAX_SUSPICIONS) {
      quarantineAsHanging(now);
    } else if (likely || probe) {
      quarantine(now);
    }
  }

  /**
   * Records that a task which was stopped here took the usual time elsewhere.
   *
   * @param weight probability that it was this runner that hung it
   */
  void recordFault(long now, double weight) {
    faults.recordFault(weight);
    if (faults.faults() >= MAX_FAULTS && weight > 0.5) {
      quarantineAsHanging(now);
    }
  }

  /** Records that a task which was stopped here took as long elsewhere. */
  void clearSuspicion() {
    suspicions = 0;
    if (quarantined && neededProbes <= 1 && failures.rate() < MAX_FAILURE_RATE) {
      release();
      failures.resetHolds();
    }
  }

  private void quarantineAsHanging(long now) {
    if (!quarantined || neededProbes <= 1) {
      quarantine(now);
    }
    neededProbes = HANGING_PROBES;
  }

  /** Quarantines the runner; the time doubles up to a maximum until a run succeeds. */
  void quarantine(long now) {
    quarantined = true;
    activeProbes = 0;
    neededProbes = Math.max(neededProbes, 1);
    quarantineEndMillis = now + failures.nextHoldMillis();
  }

  /** Records that a run is assigned to the runner. Returns whether the run is a probe. */
  boolean recordStart() {
    if (quarantined) {
      activeProbes++;
    }
    return quarantined;
  }

  /** Records that a probe ended without showing whether the runner works. */
  void recordInconclusiveProbe() {
    activeProbes = Math.max(0, activeProbes - 1);
  }

  /**
   * Ends the quarantine of a runner that got no probe: the waiting work, such as a gang, may need
   * several tasks on it, but a probe is one task. Returns whether the quarantine ended.
   */
  boolean releaseIfUnprobed(long now) {
    boolean unprobed =
        quarantined && activeProbes == 0 && now >= quarantineEndMillis + PROBE_WAIT_MILLIS;
    if (unprobed) {
      release();
    }
    return unprobed;
  }

  /** Returns whether the runner may get runs; if it is quarantined, only one run as a probe. */
  boolean acceptsRuns(long now) {
    return !quarantined || now >= quarantineEndMillis && activeProbes == 0;
  }

  boolean isQuarantined() {
    return quarantined;
  }

  /** Returns whether the runner restarts so often that it should only get short work. */
  boolean isFlapping(long now) {
    return starts.isFlapping(now);
  }

  /** Returns the share of runs that hang here, given the share on all runners. */
  double faultRate(double averageRate) {
    return faults.rate(averageRate);
  }

  /** Returns how many times as likely as on an average runner a run hangs here. */
  double faultFactor(double averageRate) {
    return faults.factor(averageRate);
  }

  /** Returns a cost for choosing among runners: 1 for a healthy runner of normal speed. */
  double cost() {
    return speed.median() * (1 + 2 * failures.rate() + HANG_COST * faults.rate(0));
  }
}
