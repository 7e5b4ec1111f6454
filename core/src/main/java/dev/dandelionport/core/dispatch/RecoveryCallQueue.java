package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowStatus;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/** Calls that wait for an owner to rebuild the workflows. Guarded by the owner's shard. */
final class RecoveryCallQueue {

  /** Most calls that wait. */
  private static final int MAX_CALLS = 2_000;

  /** Calls that are answered at a time, so that other work goes on between them. */
  private static final int BATCH_SIZE = 20;

  private record QueuedCall(WorkflowCall call, CompletableFuture<WorkflowAnswer> answer) {}

  private final Deque<QueuedCall> calls = new ArrayDeque<>();

  int size() {
    return calls.size();
  }

  /** Returns the answer to a call once it was handled; at once if too many calls wait. */
  CompletableFuture<WorkflowAnswer> add(WorkflowCall c) {
    if (calls.size() >= MAX_CALLS) {
      return CompletableFuture.completedFuture(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER));
    }
    QueuedCall e = new QueuedCall(c, new CompletableFuture<>());
    calls.add(e);
    return e.answer();
  }

  /** Hands some of the calls over with the future to complete; returns whether more wait. */
  boolean drainBatch(BiConsumer<WorkflowCall, CompletableFuture<WorkflowAnswer>> handler) {
    for (int i = 0; i < BATCH_SIZE && !calls.isEmpty(); i++) {
      QueuedCall e = calls.poll();
      handler.accept(e.call(), e.answer());
    }
    return !calls.isEmpty();
  }

  /** Answers that the instance is no longer the owner. */
  void rejectAll() {
    calls.forEach(e -> e.answer().complete(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER)));
    calls.clear();
  }
}
