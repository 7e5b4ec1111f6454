package dev.dandelionport.core.manifest;

/**
 * Scheduling policy of one workload class.
 *
 * @param placement which workers to prefer
 * @param preemption what the class may do to running deferrable work
 * @param headroomPercent part of each partition's capacity reserved for the class, in percent
 * @param queueBound maximum number of jobs of the class that may wait in a partition
 * @param drainMode what happens to running work in a drained failure domain
 * @param retryBudgetPercent maximum number of retries of a team, in percent of its first starts
 */
public record ClassPolicy(
    Placement placement,
    Preemption preemption,
    int headroomPercent,
    int queueBound,
    DrainMode drainMode,
    int retryBudgetPercent) {}
