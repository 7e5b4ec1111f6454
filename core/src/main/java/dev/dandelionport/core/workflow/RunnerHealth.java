package dev.dandelionport.core.workflow;

/**
 * Rates a runner by the ends of its runs: how often they fail and how long they take compared with
 * what their queue usually takes. A runner that fails nearly everything is held back and probed.
 */
final class RunnerHealth {

  /** Weight of the latest end in the failure rate; three failures in a row reach 0.66. */
  private static final double FAILURE_GAIN = 0.3;

  /** Failure rate above which a runner is held back. */
  private static final double TOO_HIGH = 0.6;

  /** Weight of the latest run in the speed. */
  private static final double SPEED_GAIN = 0.3;

  private static final long BASE_MILLIS = 1_000;
  private static final long MAX_MILLIS = 8_000;

  /** Time in which a runner that may be probed gets no probe until it is no longer held back. */
  private static final long UNPROBED_MILLIS = 2_000;

  private double failureRate;
  private double slowness = 1;
  private int rounds;
  private long heldUntilMillis;
  private boolean held;
  private int probes;

  /** Notes that a run was done in {@code ratio} times the usual time. */
  void done(double ratio) {
    failureRate -= FAILURE_GAIN * failureRate;
    slowness += SPEED_GAIN * (Math.min(ratio, 10) - slowness);
    held = false;
    rounds = 0;
    probes = 0;
  }

  /** Notes a failure that may be the runner's fault, also of a probe. */
  void failed(long now, boolean probe) {
    failureRate += FAILURE_GAIN * (1 - failureRate);
    if (probe || failureRate >= TOO_HIGH) {
      hold(now);
    }
  }

  /** Holds the runner back, for longer each time. */
  void hold(long now) {
    held = true;
    probes = 0;
    heldUntilMillis = now + Math.min(MAX_MILLIS, BASE_MILLIS << Math.min(rounds, 10));
    rounds++;
  }

  /** Notes that a run is sent to the runner; returns whether it is a probe. */
  boolean started() {
    if (held) {
      probes++;
    }
    return held;
  }

  /** Notes that a probe ended without telling whether the runner works. */
  void probeEnded() {
    probes = Math.max(0, probes - 1);
  }

  /**
   * Ends the hold of a runner that nothing has probed: what waits may need more of it than a probe
   * takes, such as a gang. Returns whether that was so.
   */
  boolean releaseUnprobed(long now) {
    boolean unprobed = held && probes == 0 && now >= heldUntilMillis + UNPROBED_MILLIS;
    held &= !unprobed;
    return unprobed;
  }

  /** Starts anew for another life of the runner. */
  void reborn() {
    failureRate = 0;
    slowness = 1;
    rounds = 0;
    held = false;
    probes = 0;
  }

  /** Returns whether the runner may get work: any, or one run as a probe. */
  boolean accepts(long now) {
    return !held || now >= heldUntilMillis && probes == 0;
  }

  boolean isHeld() {
    return held;
  }

  /** Returns a cost for choosing among runners, 1 for a sound one of usual speed. */
  double cost() {
    return slowness * (1 + 2 * failureRate);
  }
}
