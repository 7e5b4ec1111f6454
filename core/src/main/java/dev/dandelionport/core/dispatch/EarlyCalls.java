package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowStatus;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/** Calls that wait for an owner to rebuild the workflows. Guarded by the owner's shard. */
final class EarlyCalls {

  /** Most calls that wait. */
  private static final int MAX_CALLS = 2_000;

  /** Calls that are answered at a time, so that other work goes on between them. */
  private static final int SLICE = 20;

  private record Early(WorkflowCall call, CompletableFuture<WorkflowAnswer> answer) {}

  private final Deque<Early> calls = new ArrayDeque<>();

  int size() {
    return calls.size();
  }

  /** Returns the answer to a call once it was handled; at once if too many calls wait. */
  CompletableFuture<WorkflowAnswer> add(WorkflowCall c) {
    if (calls.size() >= MAX_CALLS) {
      return CompletableFuture.completedFuture(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER));
    }
    Early e = new Early(c, new CompletableFuture<>());
    calls.add(e);
    return e.answer();
  }

  /** Hands some of the calls over with the future to complete; returns whether more wait. */
  boolean takeSome(BiConsumer<WorkflowCall, CompletableFuture<WorkflowAnswer>> handler) {
    for (int i = 0; i < SLICE && !calls.isEmpty(); i++) {
      Early e = calls.poll();
      handler.accept(e.call(), e.answer());
    }
    return !calls.isEmpty();
  }

  /** Answers that the instance is no longer the owner. */
  void refuse() {
    calls.forEach(e -> e.answer().complete(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER)));
    calls.clear();
  }
}
