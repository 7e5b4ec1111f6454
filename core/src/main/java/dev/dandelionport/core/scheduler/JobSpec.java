package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;

/**
 * A job as submitted by a caller.
 *
 * @param key team and request key
 * @param queue queue through which the job was submitted, or empty
 * @param workloadClass class that selects the scheduling policy
 * @param deadlineMillis time by which the job must be finished, milliseconds since the epoch
 * @param taskSize resources of each task
 * @param tasks number of tasks
 * @param expectedRunMillis declared run time of a task in milliseconds; often inaccurate
 * @param repeatable whether a task may run again after a failed or lost attempt
 * @param payload body passed to each task
 * @param fingerprint hash of the request body; a retry must have the same fingerprint
 */
public record JobSpec(
    JobKey key,
    String queue,
    WorkloadClass workloadClass,
    long deadlineMillis,
    ResourceVector taskSize,
    int tasks,
    long expectedRunMillis,
    boolean repeatable,
    String payload,
    String fingerprint) {

  /**
   * Returns whether the job's starts and its success may take effect before their records are
   * durable. This holds for urgent repeatable jobs only: if their records are lost, the worst
   * result is that they run again.
   */
  public boolean skipsCommitWait() {
    return repeatable && workloadClass == WorkloadClass.URGENT;
  }
}
