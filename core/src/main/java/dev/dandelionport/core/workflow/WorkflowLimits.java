package dev.dandelionport.core.workflow;

/**
 * Times that the platform of a deployment sets.
 *
 * @param gangMillis time after which a member of a gang that is not whole gives up
 * @param stopMillis time that a stop takes at most
 * @param remoteFactor how much longer a task takes away from its data or its gang's rack
 * @param checkpointMillis work after which a task that saves its progress does so
 * @param keepClosedMillis time for which a workflow that is over can be asked for
 */
public record WorkflowLimits(
    long gangMillis,
    long stopMillis,
    double remoteFactor,
    long checkpointMillis,
    long keepClosedMillis) {}
