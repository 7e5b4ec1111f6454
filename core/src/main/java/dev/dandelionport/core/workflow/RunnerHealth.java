package dev.dandelionport.core.workflow;

/**
 * Rates a runner by the ends of its runs: how often they fail and how long they take compared with
 * what their queue usually takes. A runner that fails nearly everything is held back and probed.
 */
final class RunnerHealth {

  /** Weight of the latest end in the failure rate; three failures in a row reach 0.66. */
  private static final double FAILURE_WEIGHT = 0.3;

  /** Failure rate above which a runner is held back. */
  private static final double MAX_FAILURE_RATE = 0.6;

  /** Weight of the latest run in the speed. */
  private static final double SPEED_WEIGHT = 0.3;

  private static final long MIN_QUARANTINE_MILLIS = 1_000;
  private static final long MAX_QUARANTINE_MILLIS = 8_000;

  /** Time in which a runner that may be probed gets no probe until it is no longer held back. */
  private static final long PROBE_WAIT_MILLIS = 2_000;

  private double failureRate;
  private double slowness = 1;
  private int quarantineCount;
  private long quarantineEndMillis;
  private boolean quarantined;
  private int activeProbes;

  /** Notes that a run was done in {@code ratio} times the usual time. */
  void recordSuccess(double ratio) {
    failureRate -= FAILURE_WEIGHT * failureRate;
    slowness += SPEED_WEIGHT * (Math.min(ratio, 10) - slowness);
    quarantined = false;
    quarantineCount = 0;
    activeProbes = 0;
  }

  /** Notes a failure that may be the runner's fault, also of a probe. */
  void recordFailure(long now, boolean probe) {
    failureRate += FAILURE_WEIGHT * (1 - failureRate);
    if (probe || failureRate >= MAX_FAILURE_RATE) {
      quarantine(now);
    }
  }

  /** Holds the runner back, for longer each time. */
  void quarantine(long now) {
    quarantined = true;
    activeProbes = 0;
    quarantineEndMillis =
        now
            + Math.min(
                MAX_QUARANTINE_MILLIS, MIN_QUARANTINE_MILLIS << Math.min(quarantineCount, 10));
    quarantineCount++;
  }

  /** Notes that a run is sent to the runner; returns whether it is a probe. */
  boolean recordStart() {
    if (quarantined) {
      activeProbes++;
    }
    return quarantined;
  }

  /** Notes that a probe ended without telling whether the runner works. */
  void recordInconclusiveProbe() {
    activeProbes = Math.max(0, activeProbes - 1);
  }

  /**
   * Ends the hold of a runner that nothing has probed: what waits may need more of it than a probe
   * takes, such as a gang. Returns whether that was so.
   */
  boolean releaseIfUnprobed(long now) {
    boolean unprobed =
        quarantined && activeProbes == 0 && now >= quarantineEndMillis + PROBE_WAIT_MILLIS;
    quarantined &= !unprobed;
    return unprobed;
  }

  /** Starts anew for another life of the runner. */
  void reset() {
    failureRate = 0;
    slowness = 1;
    quarantineCount = 0;
    quarantined = false;
    activeProbes = 0;
  }

  /** Returns whether the runner may get work: any, or one run as a probe. */
  boolean acceptsRuns(long now) {
    return !quarantined || now >= quarantineEndMillis && activeProbes == 0;
  }

  boolean isQuarantined() {
    return quarantined;
  }

  /** Returns a cost for choosing among runners, 1 for a sound one of usual speed. */
  double cost() {
    return slowness * (1 + 2 * failureRate);
  }
}
