package dev.dandelionport.node.request;

import com.google.common.hash.Hashing;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.scheduler.JobSpec;
import java.nio.charset.StandardCharsets;

/**
 * A submission as its caller wrote it, with defaults filled in.
 *
 * @param requestKey key that the caller chose
 * @param queue queue, or empty
 * @param workloadClass workload class, or null if the default of the queue applies
 * @param deadlineMillis milliseconds since the epoch
 * @param taskSize resources of each task
 * @param tasks number of tasks
 * @param expectedRunMillis declared run time of a task in milliseconds
 * @param repeatable whether a task may run again
 * @param payload body handed to each task
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

  /** Returns the job; {@code fallback} is the class of a request that names none. */
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

  /** Hashes what the job is; neither the form of the JSON text nor the wait counts. */
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
