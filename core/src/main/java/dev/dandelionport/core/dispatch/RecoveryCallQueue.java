package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowStatus;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/**
 * Calls that wait until a new owner has rebuilt the workflows, earliest deadline first. A call that
 * cannot be handled while its sender waits is answered "not the owner" before the sender gives up,
 * so that the sender knows that it had no effect. Made for the two seconds after the loss of all
 * instances, in which up to 200 calls arrive. Guarded by the owner's shard.
 */
final class RecoveryCallQueue {

  /** Maximum number of waiting calls; further ones are rejected. */
  private static final int MAX_CALLS = 2_000;

  /** Calls that are handled in one go; other work runs between two batches. */
  private static final int BATCH_SIZE = 20;

  /** Interval at which calls whose time is over are rejected, in milliseconds. */
  private static final long EXPIRY_MILLIS = 50;

  /**
   * Time before the sender's timeout at which a call is rejected, in milliseconds. The answer must
   * reach the sender in time even if the timer of a busy owner is late.
   */
  private static final long ANSWER_MARGIN_MILLIS = 150;

  /** Wait of senders that do not tell theirs, in milliseconds; older versions wait 900 ms. */
  private static final long DEFAULT_WAIT_MILLIS = 900;

  private record QueuedCall(
      WorkflowCall call,
      long deadlineMillis,
      long number,
      CompletableFuture<WorkflowAnswer> answer) {}

  private final DispatchContext context;
  private final Shard shard;
  private final PriorityQueue<QueuedCall> calls =
      new PriorityQueue<>(
          Comparator.comparingLong(QueuedCall::deadlineMillis)
              .thenComparingLong(QueuedCall::number));
  private long nextNumber;
  private boolean expiryScheduled;

  RecoveryCallQueue(DispatchContext context, Shard shard) {
    this.context = context;
    this.shard = shard;
  }

  int size() {
    return calls.size();
  }

  /**
   * Queues a call and returns its future answer; rejects the call immediately if the queue is full
   * or the sender waits too short a time.
   */
  CompletableFuture<WorkflowAnswer> add(WorkflowCall c) {
    long waitMillis = c.waitMillis() > 0 ? c.waitMillis() : DEFAULT_WAIT_MILLIS;
    if (calls.size() >= MAX_CALLS || waitMillis <= ANSWER_MARGIN_MILLIS) {
      return CompletableFuture.completedFuture(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER));
    }
    long deadlineMillis = context.nowMillis() + waitMillis - ANSWER_MARGIN_MILLIS;
    QueuedCall queued = new QueuedCall(c, deadlineMillis, nextNumber++, new CompletableFuture<>());
    calls.add(queued);
    scheduleExpiry();
    return queued.answer();
  }

  private void scheduleExpiry() {
    if (!expiryScheduled && !calls.isEmpty()) {
      expiryScheduled = true;
      context.schedule(
          shard,
          EXPIRY_MILLIS,
          () -> {
            expiryScheduled = false;
            rejectExpired();
            scheduleExpiry();
          });
    }
  }

  private void rejectExpired() {
    long now = context.nowMillis();
    while (!calls.isEmpty() && calls.peek().deadlineMillis() <= now) {
      reject(calls.poll());
    }
  }

  private void reject(QueuedCall c) {
    shard.runAfterUnlock(() -> c.answer().complete(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER)));
  }

  /**
   * Passes up to one batch of calls to the handler, each with the future to complete; returns
   * whether more are queued.
   */
  boolean drainBatch(BiConsumer<WorkflowCall, CompletableFuture<WorkflowAnswer>> handler) {
    rejectExpired();
    for (int i = 0; i < BATCH_SIZE && !calls.isEmpty(); i++) {
      QueuedCall e = calls.poll();
      handler.accept(e.call(), e.answer());
    }
    return !calls.isEmpty();
  }

  /** Completes all queued calls with the status that this instance is not the owner. */
  void rejectAll() {
    while (!calls.isEmpty()) {
      reject(calls.poll());
    }
  }
}
