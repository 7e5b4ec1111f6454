package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.dispatch.OwnerRecord.Owner;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.PeerException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Routes requests to the owner, local or remote, and retries when the owner changes. All requests
 * may be retried, because the workflow id makes them idempotent. Thread-safe.
 */
final class OwnerRouter {

  private static final long RETRY_MILLIS = 80;

  /**
   * Time after which a refused request that may have been accepted before is sent again, in
   * milliseconds. An owner that refuses is overloaded or without the store, and each such request
   * adds to its load.
   */
  private static final long REFUSED_RETRY_MILLIS = 400;

  /**
   * Timeout of one attempt, in milliseconds; an owner that does not answer may have been replaced.
   */
  private static final long ATTEMPT_TIMEOUT_MILLIS = 900;

  /** Longest wait for an owner before a request that was never sent is refused, in milliseconds. */
  private static final long NO_OWNER_TIMEOUT_MILLIS = 2_500;

  /** Time reserved for returning the answer to the client, in milliseconds. */
  private static final long ANSWER_MARGIN_MILLIS = 120;

  /**
   * Shortest time for a first attempt, in milliseconds. With less, the answer would come too late,
   * and a request that can still be refused would become uncertain.
   */
  private static final long MIN_ATTEMPT_MILLIS = 50;

  private static final long RETRY_AFTER_MILLIS = 700;

  private final DispatchContext context;
  private final Function<WorkflowCall, Optional<CompletableFuture<WorkflowAnswer>>> localOwnerCall;
  private final Supplier<Optional<Owner>> remoteOwner;

  /** A client request that is routed to the owner. */
  private final class RoutedCall {
    final WorkflowCall call;
    final long startMillis;

    /** Time by which the answer must be known here, so that it reaches the client in time. */
    final long deadlineMillis;

    final CompletableFuture<WorkflowAnswer> answer = new CompletableFuture<>();

    /**
     * Whether an owner may have executed the request, or may yet do so. It stays so for all further
     * attempts: a message without an answer may be handled at any later time.
     */
    volatile boolean uncertain;

    RoutedCall(WorkflowCall call, long deadlineMillis) {
      this.call = call;
      this.startMillis = context.nowMillis();
      this.deadlineMillis = deadlineMillis - ANSWER_MARGIN_MILLIS;
    }

    void attempt() {
      if (answer.isDone()) {
        return;
      }
      long now = context.nowMillis();
      long remainingMillis = deadlineMillis - now;
      if (remainingMillis < (uncertain ? 1 : MIN_ATTEMPT_MILLIS)
          || !uncertain && now - startMillis > NO_OWNER_TIMEOUT_MILLIS) {
        giveUp();
        return;
      }
      Optional<CompletableFuture<WorkflowAnswer>> localAnswer =
          localOwnerCall.apply(call.withWait(remainingMillis));
      if (localAnswer.isPresent()) {
        awaitLocalAnswer(localAnswer.get(), remainingMillis);
        return;
      }
      Optional<Owner> remote = remoteOwner.get();
      if (remote.isEmpty()) {
        retryAfter(RETRY_MILLIS);
        return;
      }
      long timeoutMillis = Math.min(ATTEMPT_TIMEOUT_MILLIS, remainingMillis);
      context
          .peers()
          .request(remote.get().info(), call.withWait(timeoutMillis), timeoutMillis)
          .thenApply(OwnerRouter::toAnswer)
          .whenComplete(this::attemptCompleted);
    }

    /** Waits for the owner in this process, whose answer may depend on the store, until a limit. */
    private void awaitLocalAnswer(CompletableFuture<WorkflowAnswer> local, long timeoutMillis) {
      local.whenComplete(this::attemptCompleted);
      if (!local.isDone()) {
        context
            .timer()
            .schedule(
                timeoutMillis,
                () -> {
                  if (!local.isDone()) {
                    uncertain = true;
                    giveUp();
                  }
                });
      }
    }

    private void attemptCompleted(WorkflowAnswer a, Throwable e) {
      if (e != null) {
        Throwable cause = Failures.cause(e);
        if (!(cause instanceof PeerException p) || p.mayHaveBeenReceived()) {
          uncertain = true;
        }
        retryAfter(RETRY_MILLIS);
      } else if (a.status() == WorkflowStatus.UNCERTAIN) {
        uncertain = true;
        retryAfter(RETRY_MILLIS);
      } else if (a.status() == WorkflowStatus.NOT_OWNER) {
        retryAfter(Math.max(RETRY_MILLIS, a.retryMillis()));
      } else if (a.status() == WorkflowStatus.REFUSED && isOutcomeUnknown()) {
        // Another attempt may find it accepted.
        retryAfter(REFUSED_RETRY_MILLIS);
      } else if (a.status().deniesEffect() && isOutcomeUnknown()) {
        // Only a changed configuration could change this answer, so no attempt follows.
        answer.complete(WorkflowAnswer.of(WorkflowStatus.UNCERTAIN));
      } else {
        answer.complete(a);
      }
    }

    /** Returns whether an earlier attempt may have an effect that a later answer does not tell. */
    private boolean isOutcomeUnknown() {
      return uncertain && call.kind() != WorkflowCallKind.READ;
    }

    /** Tries again after a delay, or earlier if the deadline requires it. */
    private void retryAfter(long delayMillis) {
      long remainingMillis = deadlineMillis - context.nowMillis();
      long latestMillis = remainingMillis - (uncertain ? 0 : MIN_ATTEMPT_MILLIS);
      if (uncertain || latestMillis >= RETRY_MILLIS) {
        context.timer().schedule(Math.max(1, Math.min(delayMillis, latestMillis)), this::attempt);
      } else {
        giveUp();
      }
    }

    /** Answers that no owner has answered: as refused if none can have received the request. */
    private void giveUp() {
      if (answer.isDone()) {
        return;
      }
      context.report(
          DispatchTopic.REQUEST_REFUSED,
          "why",
          "no owner answered",
          "kind",
          call.kind().name(),
          "path",
          call.path(),
          "waitedMillis",
          context.nowMillis() - startMillis,
          "uncertain",
          uncertain);
      answer.complete(
          isOutcomeUnknown()
              ? WorkflowAnswer.of(WorkflowStatus.UNCERTAIN)
              : new WorkflowAnswer(WorkflowStatus.REFUSED, null, 0, RETRY_AFTER_MILLIS));
    }
  }

  OwnerRouter(
      DispatchContext context,
      Function<WorkflowCall, Optional<CompletableFuture<WorkflowAnswer>>> localOwnerCall,
      Supplier<Optional<Owner>> remoteOwner) {
    this.context = context;
    this.localOwnerCall = localOwnerCall;
    this.remoteOwner = remoteOwner;
  }

  private static WorkflowAnswer toAnswer(PeerMessage m) {
    if (m instanceof WorkflowAnswer a) {
      return a;
    }
    throw new PeerException("unexpected answer from the peer", true, null);
  }

  CompletableFuture<WorkflowAnswer> call(WorkflowCall c, long deadlineMillis) {
    RoutedCall call = new RoutedCall(c, deadlineMillis);
    call.attempt();
    return call.answer;
  }
}
