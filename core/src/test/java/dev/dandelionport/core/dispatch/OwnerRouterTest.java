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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
  private Optional<OwnerRecord.Owner> remoteOwner =
      Optional.of(
          new OwnerRecord.Owner(
              new InstanceInfo(new InstanceId("o"), "r", "fd", "127.0.0.1", 1), 1, 1));
  private int requests;
  private final List<Map<String, Object>> reports = new ArrayList<>();

  private WorkflowAnswer call(WorkflowCallKind kind) {
    return call(kind, 3_000);
  }

  /** Calls with a deadline and returns the answer, which must be given by then. */
  private WorkflowAnswer call(WorkflowCallKind kind, long waitMillis) {
    InstanceInfo self = new InstanceInfo(new InstanceId("self"), "r", "fd", "127.0.0.1", 2);
    DispatchContext context =
        new DispatchContext(
            self,
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
            (topic, fields) -> {
              assertThat(topic).isEqualTo(DispatchTopic.REQUEST_ANSWERED);
              reports.add(fields);
            });
    OwnerRouter router = new OwnerRouter(context, c -> localAnswer, () -> remoteOwner);
    long now = TimeUnit.NANOSECONDS.toMillis(process.monotonicNanos());
    CompletableFuture<WorkflowAnswer> f =
        router.call(new WorkflowCall(kind, "h", "/q/1", "key", new byte[0]), now + waitMillis);
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

  // Guards against a line for each request, which would cost more than the answer.
  @Test
  void requestAnsweredAsOkAtOnceIsNotReported() {
    peerAnswer = () -> of(WorkflowStatus.OK);
    for (WorkflowCallKind kind : WorkflowCallKind.values()) {
      call(kind);
    }
    assertThat(reports).isEmpty();
  }

  // Guards against a line for each reading while the owner changes.
  @Test
  void readingThatSucceedsLaterIsNotReported() {
    peerAnswer = lostThen(() -> of(WorkflowStatus.OK));
    call(WorkflowCallKind.READ);
    assertThat(requests).isEqualTo(2);
    assertThat(reports).isEmpty();
  }

  // The logs did not tell that an accepted submission had been sent twice.
  @Test
  void submissionAcceptedAtTheSecondAttemptIsReported() {
    peerAnswer = lostThen(() -> of(WorkflowStatus.OK));
    call(WorkflowCallKind.SUBMIT);
    assertThat(reports)
        .containsExactly(
            Map.of(
                "kind",
                "SUBMIT",
                "path",
                "/q/1",
                "status",
                "OK",
                "attempts",
                2,
                "unanswered",
                1,
                "owner",
                "o",
                "waitedMillis",
                80L));
  }

  // The logs did not tell that a rejected submission might have been accepted before.
  @Test
  void rejectionAfterAnAttemptWithoutAnswerIsReportedWithBoth() {
    peerAnswer = lostThen(() -> of(WorkflowStatus.NO_ACCOUNT));
    call(WorkflowCallKind.SUBMIT);
    assertThat(reports)
        .singleElement()
        .satisfies(
            r ->
                assertThat(r)
                    .containsEntry("path", "/q/1")
                    .containsEntry("status", "UNCERTAIN")
                    .containsEntry("why", "NO_ACCOUNT after an attempt without an answer")
                    .containsEntry("attempts", 2)
                    .containsEntry("unanswered", 1)
                    .containsEntry("owner", "o"));
  }

  // Guards against a reading's rejection that leaves no line.
  @Test
  void rejectedReadingIsReported() {
    peerAnswer = () -> of(WorkflowStatus.UNKNOWN_WORKFLOW);
    call(WorkflowCallKind.READ);
    assertThat(reports)
        .containsExactly(
            Map.of(
                "kind",
                "READ",
                "path",
                "/q/1",
                "status",
                "UNKNOWN_WORKFLOW",
                "attempts",
                1,
                "unanswered",
                0,
                "owner",
                "o",
                "waitedMillis",
                0L));
  }

  // Guards against a refusal of which the log does not tell that no owner can have received it.
  @Test
  void requestThatNoOwnerReceivedIsReportedWithTheReason() {
    call(WorkflowCallKind.SUBMIT);
    assertThat(reports)
        .singleElement()
        .satisfies(
            r ->
                assertThat(r)
                    .containsEntry("status", "REFUSED")
                    .containsEntry("why", "no owner answered")
                    .containsEntry("attempts", requests)
                    .containsEntry("unanswered", 0)
                    .doesNotContainKey("owner"));
  }

  @Test
  void requestWithoutAnyOwnerIsReportedWithoutAttempts() {
    remoteOwner = Optional.empty();
    call(WorkflowCallKind.CANCEL);
    assertThat(reports)
        .singleElement()
        .satisfies(
            r ->
                assertThat(r)
                    .containsEntry("kind", "CANCEL")
                    .containsEntry("status", "REFUSED")
                    .containsEntry("why", "no owner answered")
                    .containsEntry("attempts", 0)
                    .containsEntry("unanswered", 0));
  }

  // Guards against a request to the owner in the same process that is not told as unanswered.
  @Test
  void requestToOwnerInThisProcessWithoutAnswerIsReportedAsUnanswered() {
    localAnswer = Optional.of(new CompletableFuture<>());
    call(WorkflowCallKind.SUBMIT);
    assertThat(reports)
        .singleElement()
        .satisfies(
            r ->
                assertThat(r)
                    .containsEntry("status", "UNCERTAIN")
                    .containsEntry("attempts", 1)
                    .containsEntry("unanswered", 1)
                    .doesNotContainKey("owner"));
  }

  // Guards against a request that is abandoned although the next owner would serve it.
  @Test
  void requestIsRepeatedUntilAnOwnerServesIt() {
    peerAnswer = () -> of(requests < 4 ? WorkflowStatus.NOT_OWNER : WorkflowStatus.OK);
    assertThat(call(WorkflowCallKind.READ).status()).isEqualTo(WorkflowStatus.OK);
    assertThat(requests).isEqualTo(4);
  }

  // A reading whose first answer was lost was held until a distant deadline while no owner
  // answered.
  @Test
  void readingIsRefusedInTimeAlsoAfterLostAnswer() {
    peerAnswer = lostThen(() -> of(WorkflowStatus.NOT_OWNER));
    long start = time.nowMillis();
    assertThat(call(WorkflowCallKind.READ, 20_000).status()).isEqualTo(WorkflowStatus.REFUSED);
    assertThat(time.nowMillis() - start).isLessThanOrEqualTo(2_600);
  }
}
