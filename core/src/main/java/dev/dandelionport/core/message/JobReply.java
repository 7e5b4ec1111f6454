package dev.dandelionport.core.message;

import dev.dandelionport.core.scheduler.JobStatus;

/**
 * Answer about a job from the owner of its partition, or from the entry instance if no owner
 * answered.
 *
 * @param outcome kind of answer
 * @param status status of the job; null unless the outcome is {@link Outcome#STATUS}
 * @param reason explanation for the caller, or empty
 */
public record JobReply(Outcome outcome, JobStatus status, String reason) {

  /** Kinds of answers. */
  public enum Outcome {
    /** The job exists and the reply contains its status. */
    STATUS,
    /** The job did not run and will not run. */
    NOT_RUN,
    /** Like {@link #NOT_RUN}; the team exceeds the request rate that the manifest allows. */
    OVER_LIMIT,
    /** The status of the job is unknown; the caller should retry with the same request key. */
    UNKNOWN,
    /** The partition has no record of the job. */
    NOT_FOUND,
    /** The request key was already used for a different request. */
    CONFLICT,
    /** The instance does not own the partition and did not process the request. */
    NOT_OWNER,
    /** The deadline has passed and the owner has no job with this request key. */
    TOO_LATE,
    /** The owner no longer accepts this copy of the request; the caller may send a new request. */
    EXPIRED
  }

  /** Creates a reply with a status. */
  public static JobReply of(JobStatus status) {
    return new JobReply(Outcome.STATUS, status, status.reason());
  }

  /** Creates a reply without a status. */
  public static JobReply of(Outcome outcome, String reason) {
    return new JobReply(outcome, null, reason);
  }
}
