package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerException;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.VirtualTime;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class OwnerRouterTest {

  private final VirtualTime time = new VirtualTime(1);
  private final FakeProcess process = new FakeProcess(time);
  private Supplier<CompletableFuture<PeerMessage>> peerAnswer =
      () -> CompletableFuture.failedFuture(new PeerException("connection refused", false, null));
  private Optional<CompletableFuture<WorkflowAnswer>> localAnswer = Optional.empty();
  private int requests;

  private WorkflowAnswer call(WorkflowCallKind kind) {
    return call(kind, 3_000);
  }

  /** Calls with a deadline and returns the answer, which must be given by then. */
  private WorkflowAnswer call(WorkflowCallKind kind, long waitMillis) {
    InstanceInfo owner = new InstanceInfo(new InstanceId("o"), "r", "fd", "127.0.0.1", 1);
    DispatchContext context =
        new DispatchContext(
            owner,
            null,
            null,
            null,
            (to, message, timeout) -> {
              requests++;
              return peerAnswer.get();
            },
            null,
            process,
            process,
            () -> null,
            (topic, fields) -> {});
    OwnerRouter router =
        new OwnerRouter(
            context, c -> localAnswer, () -> Optional.of(new OwnerRecord.Owner(owner, 1, 1)));
    long now = TimeUnit.NANOSECONDS.toMillis(process.monotonicNanos());
    CompletableFuture<WorkflowAnswer> f =
        router.call(new WorkflowCall(kind, "h", "/q/1", "", new byte[0]), now + waitMillis);
    assertThat(time.runUntil(f::isDone, waitMillis)).isTrue();
    return f.join();
  }

  private static CompletableFuture<PeerMessage> of(WorkflowStatus s) {
    return CompletableFuture.completedFuture(WorkflowAnswer.of(s));
  }

  // Guards against a "not run" answer to a client although an owner may have accepted the request.
  @Test
  void sentRequestIsNeverReportedAsNotRun() {
    peerAnswer =
        () ->
            requests == 1
                ? CompletableFuture.failedFuture(new PeerException("answer lost", true, null))
                : of(WorkflowStatus.REFUSED);
    assertThat(call(WorkflowCallKind.SUBMIT).status()).isEqualTo(WorkflowStatus.UNCERTAIN);
  }

  /** Returns the answers of owners of which the first is lost. */
  private Supplier<CompletableFuture<PeerMessage>> lostThen(
      Supplier<CompletableFuture<PeerMessage>> next) {
    return () ->
        requests == 1
            ? CompletableFuture.failedFuture(new PeerException("answer lost", true, null))
            : next.get();
  }

  // A request that may have been carried out was answered 401, 404 or 400, as if it had no effect.
  @ParameterizedTest
  @EnumSource(names = {"NO_ACCOUNT", "NO_QUEUE", "INVALID"})
  void rejectionAfterAttemptThatMayHaveTakenEffectIsUncertain(WorkflowStatus rejection) {
    peerAnswer = lostThen(() -> of(rejection));
    for (WorkflowCallKind kind : List.of(WorkflowCallKind.SUBMIT, WorkflowCallKind.CANCEL)) {
      requests = 0;
      assertThat(call(kind).status()).isEqualTo(WorkflowStatus.UNCERTAIN);
    }
  }

  // Guards against an uncertain answer for a request that no owner can have carried out.
  @ParameterizedTest
  @EnumSource(names = {"NO_ACCOUNT", "NO_QUEUE", "INVALID", "UNKNOWN_WORKFLOW"})
  void rejectionIsFinalIfNoAttemptMayHaveTakenEffect(WorkflowStatus rejection) {
    peerAnswer = () -> of(requests < 3 ? WorkflowStatus.NOT_OWNER : rejection);
    assertThat(call(WorkflowCallKind.SUBMIT).status()).isEqualTo(rejection);
  }

  // Guards against readings, which change nothing, that count as uncertain.
  @ParameterizedTest
  @EnumSource(names = {"NO_ACCOUNT", "NO_QUEUE", "INVALID", "UNKNOWN_WORKFLOW"})
  void rejectionOfReadingIsFinalAlsoAfterLostAnswer(WorkflowStatus rejection) {
    peerAnswer = lostThen(() -> of(rejection));
    assertThat(call(WorkflowCallKind.READ).status()).isEqualTo(rejection);
  }

  // A request whose first answer was lost was answered as uncertain at the next refusal, although
  // the owner that had accepted it could still report that before the deadline.
  @Test
  void refusalAfterLostAnswerIsNotFinalBeforeTheDeadline() {
    long acceptedMillis = time.nowMillis() + 2_000;
    peerAnswer =
        lostThen(
            () ->
                of(time.nowMillis() < acceptedMillis ? WorkflowStatus.REFUSED : WorkflowStatus.OK));
    assertThat(call(WorkflowCallKind.SUBMIT).status()).isEqualTo(WorkflowStatus.OK);
  }

  // Guards against an uncertain answer before the deadline, and against one that comes too late.
  @Test
  void requestThatMayHaveBeenReceivedIsUncertainOnlyAtTheDeadline() {
    peerAnswer = lostThen(() -> of(WorkflowStatus.REFUSED));
    long start = time.nowMillis();
    assertThat(call(WorkflowCallKind.SUBMIT).status()).isEqualTo(WorkflowStatus.UNCERTAIN);
    assertThat(time.nowMillis() - start).isBetween(2_800L, 2_950L);
  }

  // A request to the owner in the same process waited for the store beyond the caller's deadline.
  @Test
  void requestToOwnerInThisProcessIsAnsweredByTheDeadline() {
    localAnswer = Optional.of(new CompletableFuture<>());
    assertThat(call(WorkflowCallKind.SUBMIT).status()).isEqualTo(WorkflowStatus.UNCERTAIN);
  }

  // A request that no owner could receive waited although its next attempt came after its deadline,
  // or was sent so late that the answer could only be lost, which made it uncertain.
  @Test
  void requestThatCannotBeAnsweredInTimeIsRefusedAtOnce() {
    long start = time.nowMillis();
    assertThat(call(WorkflowCallKind.SUBMIT, 230).status()).isEqualTo(WorkflowStatus.REFUSED);
    assertThat(time.nowMillis() - start).isLessThan(10);
    requests = 0;
    assertThat(call(WorkflowCallKind.SUBMIT, 160).status()).isEqualTo(WorkflowStatus.REFUSED);
    assertThat(requests).isZero();
  }

  // Guards against an uncertain answer, which a client cannot act on, for a request that was
  // certainly not executed.
  @Test
  void unsentRequestIsRefusedWithRetryDelay() {
    WorkflowAnswer a = call(WorkflowCallKind.SUBMIT);
    assertThat(a.status()).isEqualTo(WorkflowStatus.REFUSED);
    assertThat(a.retryMillis()).isPositive();
  }

  // Guards against a request that is abandoned although the next owner would serve it.
  @Test
  void requestIsRepeatedUntilAnOwnerServesIt() {
    peerAnswer = () -> of(requests < 4 ? WorkflowStatus.NOT_OWNER : WorkflowStatus.OK);
    assertThat(call(WorkflowCallKind.READ).status()).isEqualTo(WorkflowStatus.OK);
    assertThat(requests).isEqualTo(4);
  }
}
