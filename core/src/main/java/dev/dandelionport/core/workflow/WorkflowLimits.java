package dev.dandelionport.core.workflow;

/**
 * Timing parameters of the platform that the scheduler runs on.
 *
 * @param gangTimeoutMillis time after which a member of an incomplete gang stops waiting for the
 *     others
 * @param maxStopMillis maximum duration of a stop
 * @param remoteFactor factor by which a task takes longer away from its data or its gang's rack
 * @param checkpointIntervalMillis interval at which a task that saves checkpoints does so
 * @param closedRetentionMillis time for which an ended workflow can still be queried
 * @param admissionControl whether submissions that certainly cannot be served are refused, in cells
 *     whose queues have a priority
 * @param delayScheduling whether steps wait for a local placement while that is expected to pay
 *     off; otherwise a gang waits a fixed time for a single rack and tasks do not wait
 * @param fairShares whether what accounts use is compared with their fair shares; otherwise only
 *     the rate of their submissions counts
 */
public record WorkflowLimits(
    long gangTimeoutMillis,
    long maxStopMillis,
    double remoteFactor,
    long checkpointIntervalMillis,
    long closedRetentionMillis,
    boolean admissionControl,
    boolean delayScheduling,
    boolean fairShares) {

  /** Creates limits with admission control and delay scheduling, without fair shares. */
  public WorkflowLimits(
      long gangTimeoutMillis,
      long maxStopMillis,
      double remoteFactor,
      long checkpointIntervalMillis,
      long closedRetentionMillis) {
    this(
        gangTimeoutMillis,
        maxStopMillis,
        remoteFactor,
        checkpointIntervalMillis,
        closedRetentionMillis,
        true,
        true,
        false);
  }
}
