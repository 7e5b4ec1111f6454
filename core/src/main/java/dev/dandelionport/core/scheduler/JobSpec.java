package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;

/**
 * What a caller asked for.
 *
 * @param key team and request key
 * @param queue queue that the job came through, or empty
 * @param workloadClass policy to apply
 * @param deadlineMillis milliseconds since the epoch by which the job must be finished
 * @param taskSize resources of each task
 * @param tasks number of tasks
 * @param expectedRunMillis declared run time of a task in milliseconds; often far off
 * @param repeatable whether a task may run again after a failed or lost attempt
 * @param payload body handed to each task
 * @param fingerprint hash of the request body; a retry must have the same one
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
   * Returns whether the job's starts and its success need not wait until their records are durable.
   * This holds for urgent repeatable jobs only, because a lost record can at worst repeat them.
   */
  public boolean skipsCommitWait() {
    return repeatable && workloadClass == WorkloadClass.URGENT;
  }
}
