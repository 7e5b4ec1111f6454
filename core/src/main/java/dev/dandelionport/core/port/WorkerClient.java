package dev.dandelionport.core.port;

import dev.dandelionport.core.common.AttemptId;
import java.util.concurrent.CompletableFuture;

/** The platform's interface to a worker. Futures fail with {@link WorkerException}. */
public interface WorkerClient {

  /** Starts a task under a lease; completes when the worker has accepted or refused it. */
  CompletableFuture<StartReply> start(WorkerInfo worker, StartCommand command);

  /** Stops an attempt; completes when the worker has accepted the command. */
  CompletableFuture<Void> stop(WorkerInfo worker, AttemptId attempt, long epoch);

  /** Writes a checkpoint of an attempt and stops it. */
  CompletableFuture<Void> checkpoint(WorkerInfo worker, AttemptId attempt, long epoch);

  /** Limits an attempt to {@code percent} of its processor time. */
  CompletableFuture<Void> throttle(WorkerInfo worker, AttemptId attempt, long epoch, int percent);

  /** Renews task leases and waits for events, as described at {@link SyncRequest}. */
  CompletableFuture<SyncReply> sync(WorkerInfo worker, SyncRequest request);
}
