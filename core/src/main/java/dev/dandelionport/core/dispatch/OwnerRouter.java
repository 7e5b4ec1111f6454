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
   * Timeout of one attempt, in milliseconds; an owner that does not answer may have been replaced.
   */
  private static final long ATTEMPT_TIMEOUT_MILLIS = 900;

  /** Longest wait for an owner before a request that was never sent is refused, in milliseconds. */
  private static final long NO_OWNER_TIMEOUT_MILLIS = 2_500;

  /** Time reserved for returning the answer to the client, in milliseconds. */
  private static final long ANSWER_MARGIN_MILLIS = 120;

  private static final long RETRY_AFTER_MILLIS = 700;

  private final DispatchContext context;
  private final Function<WorkflowCall, Optional<CompletableFuture<WorkflowAnswer>>> localOwnerCall;
  private final Supplier<Optional<Owner>> remoteOwner;

  /** A client request that is routed to the owner. */
  private final class RoutedCall {
    final WorkflowCall call;
    final long startMillis;
    final long deadlineMillis;
    final CompletableFuture<WorkflowAnswer> answer = new CompletableFuture<>();

    /** Whether an owner may have executed the request. */
    boolean uncertain;

    RoutedCall(WorkflowCall call, long deadlineMillis) {
      this.call = call;
      this.startMillis = context.nowMillis();
      this.deadlineMillis = deadlineMillis;
    }

    void attempt() {
      long now = context.nowMillis();
      boolean late = now >= deadlineMillis - ANSWER_MARGIN_MILLIS;
      if (late || !uncertain && now - startMillis > NO_OWNER_TIMEOUT_MILLIS) {
        context.report(
            DispatchTopic.REQUEST_REFUSED,
            "why",
            "no owner answered",
            "kind",
            call.kind().name(),
            "path",
            call.path(),
            "waitedMillis",
            now - startMillis,
            "uncertain",
            uncertain);
        answer.complete(
            uncertain && call.kind() != WorkflowCallKind.READ
                ? WorkflowAnswer.of(WorkflowStatus.UNCERTAIN)
                : new WorkflowAnswer(WorkflowStatus.REFUSED, null, 0, RETRY_AFTER_MILLIS));
        return;
      }
      Optional<CompletableFuture<WorkflowAnswer>> localAnswer = localOwnerCall.apply(call);
      if (localAnswer.isPresent()) {
        localAnswer.get().whenComplete(this::attemptCompleted);
        return;
      }
      Optional<Owner> remote = remoteOwner.get();
      if (remote.isEmpty()) {
        retryLater();
        return;
      }
      long timeoutMillis =
          Math.min(ATTEMPT_TIMEOUT_MILLIS, deadlineMillis - ANSWER_MARGIN_MILLIS - now);
      context
          .peers()
          .request(remote.get().info(), call, timeoutMillis)
          .thenApply(OwnerRouter::toAnswer)
          .whenComplete(this::attemptCompleted);
    }

    private void attemptCompleted(WorkflowAnswer a, Throwable e) {
      if (e != null) {
        Throwable cause = Failures.cause(e);
        uncertain |= !(cause instanceof PeerException p) || p.mayHaveBeenReceived();
        retryLater();
      } else if (a.status() == WorkflowStatus.UNCERTAIN) {
        uncertain = true;
        retryLater();
      } else if (a.status() == WorkflowStatus.NOT_OWNER) {
        retryLater();
      } else if (a.status() == WorkflowStatus.REFUSED && uncertain) {
        // An earlier owner may have accepted the request, so a refusal as "not run" might be wrong.
        answer.complete(WorkflowAnswer.of(WorkflowStatus.UNCERTAIN));
      } else {
        answer.complete(a);
      }
    }

    private void retryLater() {
      context.timer().schedule(RETRY_MILLIS, this::attempt);
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
