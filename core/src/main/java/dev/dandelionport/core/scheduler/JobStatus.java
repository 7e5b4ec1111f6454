package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.JobKey;
import java.util.List;

/**
 * The status of a job as reported to callers.
 *
 * @param key team and request key
 * @param phase current phase of the job
 * @param results result of each finished task, by task index; empty string where there is none
 * @param reason why the job waits, failed or was refused; empty if there is no reason to report
 * @param acceptedMillis when the job was accepted, milliseconds since the epoch
 * @param startedMillis when its first task started, 0 if none has
 * @param endedMillis when it reached a final phase, 0 if it has not
 */
public record JobStatus(
    JobKey key,
    JobPhase phase,
    List<String> results,
    String reason,
    long acceptedMillis,
    long startedMillis,
    long endedMillis) {

  /** Copies the list. */
  public JobStatus {
    results = List.copyOf(results);
  }
}
