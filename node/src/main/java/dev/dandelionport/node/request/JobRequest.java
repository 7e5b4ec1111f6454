package dev.dandelionport.node.request;

import com.google.common.hash.Hashing;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.scheduler.JobSpec;
import java.nio.charset.StandardCharsets;

/**
 * A submit request as the caller sent it, with default values filled in.
 *
 * @param requestKey idempotency key chosen by the caller
 * @param queue id of the queue, or empty for none
 * @param workloadClass workload class, or null if the default of the queue applies
 * @param deadlineMillis deadline of the job, in milliseconds since the epoch
 * @param taskSize resources of each task
 * @param tasks number of tasks
 * @param expectedRunMillis declared run time of a task in milliseconds
 * @param repeatable whether a task may run again
 * @param payload text that is passed to each task
 * @param waitMillis how long the caller waits for the end of the job, in milliseconds
 */
record JobRequest(
    String requestKey,
    String queue,
    WorkloadClass workloadClass,
    long deadlineMillis,
    ResourceVector taskSize,
    int tasks,
    long expectedRunMillis,
    boolean repeatable,
    String payload,
    long waitMillis) {

  /** Returns the job; {@code defaultClass} applies if the request has no workload class. */
  JobSpec toSpec(JobKey job, WorkloadClass defaultClass) {
    WorkloadClass c = workloadClass == null ? defaultClass : workloadClass;
    return new JobSpec(
        job,
        queue,
        c,
        deadlineMillis,
        taskSize,
        tasks,
        expectedRunMillis,
        repeatable,
        payload,
        fingerprint(c));
  }

  /**
   * Returns a hash of the job's content, by which a retry is recognized. The formatting of the JSON
   * text and the wait time are not part of it.
   */
  private String fingerprint(WorkloadClass c) {
    String text =
        String.join(
            "\n",
            queue,
            c.name(),
            Long.toString(deadlineMillis),
            taskSize.toString(),
            Integer.toString(tasks),
            Long.toString(expectedRunMillis),
            Boolean.toString(repeatable),
            payload);
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }
}
