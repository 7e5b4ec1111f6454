package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.dispatch.OwnerRecord.Owner;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
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

  /** An answer that this instance gives in place of an owner. */
  private record OwnAnswer(WorkflowAnswer answer, String why) {}

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

    private final AtomicInteger attempts = new AtomicInteger();

    /** Number of attempts that had no definite answer. */
    private final AtomicInteger unanswered = new AtomicInteger();

    /** Id of the instance that gave the last answer, empty if none did. */
    private volatile String lastAnswerer = "";

    /** The answer that this instance decided, null if it decided none. */
    private volatile OwnAnswer ownAnswer;

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
        attempts.incrementAndGet();
        awaitLocalAnswer(localAnswer.get(), remainingMillis);
        return;
      }
      Optional<Owner> remote = remoteOwner.get();
      if (remote.isEmpty()) {
        retryAfter(RETRY_MILLIS);
        return;
      }
      long timeoutMillis = Math.min(ATTEMPT_TIMEOUT_MILLIS, remainingMillis);
      InstanceInfo owner = remote.get().info();
      attempts.incrementAndGet();
      context
          .peers()
          .request(owner, call.withWait(timeoutMillis), timeoutMillis)
          .thenApply(OwnerRouter::toAnswer)
          .whenComplete((a, e) -> attemptCompleted(owner, a, e));
    }

    /** Waits for the owner in this process, whose answer may depend on the store, until a limit. */
    private void awaitLocalAnswer(CompletableFuture<WorkflowAnswer> local, long timeoutMillis) {
      local.whenComplete((a, e) -> attemptCompleted(context.self(), a, e));
      if (!local.isDone()) {
        context
            .timer()
            .schedule(
                timeoutMillis,
                () -> {
                  if (!local.isDone()) {
                    attemptUnanswered();
                    giveUp();
                  }
                });
      }
    }

    private void attemptCompleted(InstanceInfo owner, WorkflowAnswer a, Throwable e) {
      if (e == null) {
        lastAnswerer = owner.id().value();
        attemptAnswered(a);
        return;
      }
      Throwable cause = Failures.cause(e);
      if (!(cause instanceof PeerException p) || p.mayHaveBeenReceived()) {
        attemptUnanswered();
      }
      retryAfter(RETRY_MILLIS);
    }

    private void attemptAnswered(WorkflowAnswer a) {
      switch (a.status()) {
        case UNCERTAIN -> {
          attemptUnanswered();
          retryAfter(RETRY_MILLIS);
        }
        case NOT_OWNER -> retryAfter(Math.max(RETRY_MILLIS, a.retryMillis()));
        case REFUSED -> {
          if (uncertain) {
            // Another attempt may find it accepted.
            retryAfter(REFUSED_RETRY_MILLIS);
          } else {
            answer.complete(a);
          }
        }
        default -> {
          if (uncertain && a.status().deniesEffect()) {
            // Another attempt would most likely get the same answer.
            completeHere(
                WorkflowAnswer.of(WorkflowStatus.UNCERTAIN),
                a.status() + " after an attempt without an answer");
          } else {
            answer.complete(a);
          }
        }
      }
    }

    /** Notes that the present attempt has no definite answer. A reading never has an effect. */
    private void attemptUnanswered() {
      unanswered.incrementAndGet();
      if (call.kind() != WorkflowCallKind.READ) {
        uncertain = true;
      }
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
      completeHere(
          uncertain
              ? WorkflowAnswer.of(WorkflowStatus.UNCERTAIN)
              : new WorkflowAnswer(WorkflowStatus.REFUSED, null, 0, RETRY_AFTER_MILLIS),
          "no owner answered");
    }

    /** Answers by a decision of this instance, unless an owner's answer comes first. */
    private void completeHere(WorkflowAnswer a, String why) {
      ownAnswer = new OwnAnswer(a, why);
      answer.complete(a);
    }

    /** Reports the answer, except for a success that the owner's own report tells completely. */
    private void report(WorkflowAnswer a) {
      boolean repeated = attempts.get() > 1 && call.kind() != WorkflowCallKind.READ;
      if (a.status() == WorkflowStatus.OK && !repeated) {
        return;
      }
      OwnAnswer own = ownAnswer;
      AnsweredRequest r =
          new AnsweredRequest(
              call.kind().name(),
              call.path(),
              a.status(),
              own != null && own.answer() == a ? own.why() : "",
              attempts.get(),
              unanswered.get(),
              lastAnswerer,
              context.nowMillis() - startMillis);
      context.observer().accept(DispatchTopic.REQUEST_ANSWERED, r.fields());
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
    call.answer.thenAccept(call::report);
    call.attempt();
    return call.answer;
  }
}
