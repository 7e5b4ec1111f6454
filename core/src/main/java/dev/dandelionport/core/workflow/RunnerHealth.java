package dev.dandelionport.core.workflow;

/**
 * Rates a runner by the outcomes of its runs: how often they fail, and how long they take compared
 * with the expected run time. A runner on which nearly all runs fail is quarantined (held back, in
 * the log): it gets no runs for a while, then single runs as probes until one of them succeeds.
 */
final class RunnerHealth {

  /** Weight of the latest outcome in the failure rate; three failures in a row reach 0.66. */
  private static final double FAILURE_WEIGHT = 0.3;

  /** Failure rate from which a runner is quarantined. */
  private static final double MAX_FAILURE_RATE = 0.6;

  /** Weight of the latest run in {@link #slowness}. */
  private static final double SPEED_WEIGHT = 0.3;

  private static final long MIN_QUARANTINE_MILLIS = 1_000;
  private static final long MAX_QUARANTINE_MILLIS = 8_000;

  /** Time without a probe after which the quarantine of a runner that may be probed ends. */
  private static final long PROBE_WAIT_MILLIS = 2_000;

  private double failureRate;
  private double slowness = 1;
  private int quarantineCount;
  private long quarantineEndMillis;
  private boolean quarantined;
  private int activeProbes;

  /**
   * Records a run that succeeded in {@code ratio} times the expected time, and ends the quarantine.
   */
  void recordSuccess(double ratio) {
    failureRate -= FAILURE_WEIGHT * failureRate;
    slowness += SPEED_WEIGHT * (Math.min(ratio, 10) - slowness);
    quarantined = false;
    quarantineCount = 0;
    activeProbes = 0;
  }

  /** Records a failure that the runner may have caused. A failed probe renews the quarantine. */
  void recordFailure(long now, boolean probe) {
    failureRate += FAILURE_WEIGHT * (1 - failureRate);
    if (probe || failureRate >= MAX_FAILURE_RATE) {
      quarantine(now);
    }
  }

  /** Quarantines the runner; the time doubles up to a maximum until a run succeeds. */
  void quarantine(long now) {
    quarantined = true;
    activeProbes = 0;
    quarantineEndMillis =
        now
            + Math.min(
                MAX_QUARANTINE_MILLIS, MIN_QUARANTINE_MILLIS << Math.min(quarantineCount, 10));
    quarantineCount++;
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
    quarantined &= !unprobed;
    return unprobed;
  }

  /** Resets the rating for a new incarnation of the runner. */
  void reset() {
    failureRate = 0;
    slowness = 1;
    quarantineCount = 0;
    quarantined = false;
    activeProbes = 0;
  }

  /** Returns whether the runner may get runs; if it is quarantined, only one run as a probe. */
  boolean acceptsRuns(long now) {
    return !quarantined || now >= quarantineEndMillis && activeProbes == 0;
  }

  boolean isQuarantined() {
    return quarantined;
  }

  /** Returns a cost for choosing among runners: 1 for a healthy runner of normal speed. */
  double cost() {
    return slowness * (1 + 2 * failureRate);
  }
}
