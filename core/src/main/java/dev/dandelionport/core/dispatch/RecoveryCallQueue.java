package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowStatus;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/** Calls that wait until a new owner has rebuilt the workflows. Guarded by the owner's shard. */
final class RecoveryCallQueue {

  /** Maximum number of waiting calls; further ones are rejected. */
  private static final int MAX_CALLS = 2_000;

  /** Calls that are handled in one go; other work runs between two batches. */
  private static final int BATCH_SIZE = 20;

  private record QueuedCall(WorkflowCall call, CompletableFuture<WorkflowAnswer> answer) {}

  private final Deque<QueuedCall> calls = new ArrayDeque<>();

  int size() {
    return calls.size();
  }

  /**
   * Queues a call and returns its future answer; rejects the call immediately if the queue is full.
   */
  CompletableFuture<WorkflowAnswer> add(WorkflowCall c) {
    if (calls.size() >= MAX_CALLS) {
      return CompletableFuture.completedFuture(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER));
    }
    QueuedCall queued = new QueuedCall(c, new CompletableFuture<>());
    calls.add(queued);
    return queued.answer();
  }

  /**
   * Passes up to one batch of calls to the handler, each with the future to complete; returns
   * whether more are queued.
   */
  boolean drainBatch(BiConsumer<WorkflowCall, CompletableFuture<WorkflowAnswer>> handler) {
    for (int i = 0; i < BATCH_SIZE && !calls.isEmpty(); i++) {
      QueuedCall e = calls.poll();
      handler.accept(e.call(), e.answer());
    }
    return !calls.isEmpty();
  }

  /** Completes all queued calls with the status that this instance is not the owner. */
  void rejectAll() {
    calls.forEach(e -> e.answer().complete(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER)));
    calls.clear();
  }
}
