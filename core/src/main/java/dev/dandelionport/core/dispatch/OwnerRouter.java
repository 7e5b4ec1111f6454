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
 * Takes requests to the owner, wherever it is, and tries again when it changes: all requests may be
 * repeated, because a workflow's id makes it one. Thread-safe.
 */
final class OwnerRouter {

  private static final long RETRY_MILLIS = 80;

  /** Longest wait for one answer of the owner, in milliseconds; it may have been replaced. */
  private static final long TRY_MILLIS = 900;

  /** Longest wait for an owner before a request that was never sent is refused. */
  private static final long NO_OWNER_MILLIS = 2_500;

  /** Time kept for the answer's way back, in milliseconds. */
  private static final long SPARE_MILLIS = 120;

  private static final long COME_BACK_MILLIS = 700;

  private final DispatchContext context;
  private final Function<WorkflowCall, Optional<CompletableFuture<WorkflowAnswer>>> here;
  private final Supplier<Optional<Owner>> peerOwner;

  /** One caller's request. */
  private final class Call {
    final WorkflowCall call;
    final long startMillis;
    final long deadlineMillis;
    final CompletableFuture<WorkflowAnswer> answer = new CompletableFuture<>();

    /** Whether an owner may have carried the request out. */
    boolean uncertain;

    Call(WorkflowCall call, long deadlineMillis) {
      this.call = call;
      this.startMillis = context.nowMillis();
      this.deadlineMillis = deadlineMillis;
    }

    void attempt() {
      long now = context.nowMillis();
      boolean late = now >= deadlineMillis - SPARE_MILLIS;
      if (late || !uncertain && now - startMillis > NO_OWNER_MILLIS) {
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
                : new WorkflowAnswer(WorkflowStatus.REFUSED, null, 0, COME_BACK_MILLIS));
        return;
      }
      Optional<CompletableFuture<WorkflowAnswer>> own = here.apply(call);
      if (own.isPresent()) {
        own.get().whenComplete(this::answered);
        return;
      }
      Optional<Owner> to = peerOwner.get();
      if (to.isEmpty()) {
        again();
        return;
      }
      long timeout = Math.min(TRY_MILLIS, deadlineMillis - SPARE_MILLIS - now);
      context
          .peers()
          .request(to.get().info(), call, timeout)
          .thenApply(OwnerRouter::answer)
          .whenComplete(this::answered);
    }

    private void answered(WorkflowAnswer a, Throwable e) {
      if (e != null) {
        Throwable cause = Failures.cause(e);
        uncertain |= !(cause instanceof PeerException p) || p.mayHaveBeenReceived();
        again();
      } else if (a.status() == WorkflowStatus.UNCERTAIN) {
        uncertain = true;
        again();
      } else if (a.status() == WorkflowStatus.NOT_OWNER) {
        again();
      } else if (a.status() == WorkflowStatus.REFUSED && uncertain) {
        // An earlier owner may have accepted it, so that "not run" might be wrong.
        answer.complete(WorkflowAnswer.of(WorkflowStatus.UNCERTAIN));
      } else {
        answer.complete(a);
      }
    }

    private void again() {
      context.timer().schedule(RETRY_MILLIS, this::attempt);
    }
  }

  OwnerRouter(
      DispatchContext context,
      Function<WorkflowCall, Optional<CompletableFuture<WorkflowAnswer>>> here,
      Supplier<Optional<Owner>> peerOwner) {
    this.context = context;
    this.here = here;
    this.peerOwner = peerOwner;
  }

  private static WorkflowAnswer answer(PeerMessage m) {
    if (m instanceof WorkflowAnswer a) {
      return a;
    }
    throw new PeerException("the peer sent another answer than asked for", true, null);
  }

  CompletableFuture<WorkflowAnswer> call(WorkflowCall c, long deadlineMillis) {
    Call call = new Call(c, deadlineMillis);
    call.attempt();
    return call.answer;
  }
}
