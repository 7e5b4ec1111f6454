package dev.dandelionport.core.workflow;

/**
 * Times that the platform of a deployment sets.
 *
 * @param gangTimeoutMillis time after which a member of a gang that is not whole gives up
 * @param maxStopMillis time that a stop takes at most
 * @param remoteFactor how much longer a task takes away from its data or its gang's rack
 * @param checkpointIntervalMillis work after which a task that saves its progress does so
 * @param closedRetentionMillis time for which a workflow that is over can be asked for
 */
public record WorkflowLimits(
    long gangTimeoutMillis,
    long maxStopMillis,
    double remoteFactor,
    long checkpointIntervalMillis,
    long closedRetentionMillis) {}
