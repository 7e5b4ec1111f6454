package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.WorkerId;
import java.util.List;

/**
 * Why a job runs where it does, or why it waits.
 *
 * @param job the job
 * @param phase current phase of the job
 * @param reason what currently determines the state of the job, as a sentence
 * @param running the first of its tasks that have an open attempt
 * @param rejected some workers on which its next task cannot start
 */
public record Explanation(
    JobKey job, JobPhase phase, String reason, List<Running> running, List<Rejected> rejected) {

  /** Copies the lists. */
  public Explanation {
    running = List.copyOf(running);
    rejected = List.copyOf(rejected);
  }

  /** A task that may be running, its worker, and why it runs there. */
  public record Running(int task, int attempt, WorkerId worker, String reason) {}

  /** A worker that was not chosen, and the reason. */
  public record Rejected(WorkerId worker, String reason) {}
}
