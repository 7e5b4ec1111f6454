package dev.dandelionport.core.port;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.scheduler.AttemptOutcome;
import java.util.List;

/**
 * State of a worker, the reply to a {@link SyncRequest}.
 *
 * @param incarnation id that the worker generated when it started
 * @param workerClockMillis time of the worker's clock when it created the reply
 * @param running running attempts
 * @param finished attempts that ended and are not acknowledged yet, in ascending order of event
 *     number
 * @param usage measured resource usage, which lags behind
 * @param leaving whether the worker is about to be removed
 */
public record SyncReply(
    String incarnation,
    long workerClockMillis,
    List<Running> running,
    List<Finished> finished,
    ResourceVector usage,
    boolean leaving) {

  /** Copies the lists. */
  public SyncReply {
    running = List.copyOf(running);
    finished = List.copyOf(finished);
  }

  /** A running attempt, with the resources that were assigned at its start. */
  public record Running(AttemptId attempt, ResourceVector size, long startedWorkerMillis) {}

  /** An attempt that ended, with its event number and result. */
  public record Finished(long number, AttemptId attempt, AttemptOutcome outcome, String result) {}
}
