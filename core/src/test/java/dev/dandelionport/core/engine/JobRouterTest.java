package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.StatusCall;
import dev.dandelionport.core.message.PeerMessage.SubmitCall;
import dev.dandelionport.core.scheduler.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Tests that requests are neither lost nor repeated, and are not refused as not run although they
 * may have run.
 */
class JobRouterTest {

  private static final JobSpec REPEATABLE = RouterHarness.job("r", true);
  private static final JobSpec ONCE = RouterHarness.job("n", false);

  private final RouterHarness harness = new RouterHarness();

  @Test
  void notRepeatableSubmitIsSentOnceAndThenOnlyItsStatusIsRequested() {
    // Guards against a second copy of a job that must not run twice, when the first owner may have
    // started it but its answer was lost.
    final CompletableFuture<JobReply> f = harness.router.submit(ONCE, 5_000, "");
    harness.last().fail(true);
    for (int i = 0; i < 5; i++) {
      harness.next().fail(true);
    }
    harness.next().succeed(ONCE.key());
    assertThat(f.join().outcome()).isEqualTo(Outcome.STATUS);
    assertThat(harness.sent.get(0).message()).isInstanceOf(SubmitCall.class);
    assertThat(harness.sent.subList(1, harness.sent.size()))
        .allMatch(s -> s.message() instanceof StatusCall);
  }

  @Test
  void unsentRequestIsSentToTheNextOwner() {
    // Guards against a refused connection that is treated as a sent request: the job's outcome
    // would be unknown although no owner received it.
    final CompletableFuture<JobReply> f = harness.router.submit(ONCE, 5_000, "");
    harness.last().fail(false);
    harness.owner = "c";
    RouterHarness.Sent second = harness.next();
    assertThat(second.to()).isEqualTo("c");
    assertThat(second.message()).isInstanceOf(SubmitCall.class);
    second.succeed(ONCE.key());
    assertThat(f.join().outcome()).isEqualTo(Outcome.STATUS);
  }

  @Test
  void statusAnswerThatOvertakesSubmitIsNotFinal() {
    // Guards against a final answer while the submit may still be in flight: the owner answers the
    // status request first and does not have the job yet.
    final CompletableFuture<JobReply> f = harness.router.submit(ONCE, 0, "");
    harness.last().fail(true);
    harness.next().reply(Outcome.NOT_FOUND);
    assertThat(f).isNotDone();
    harness.next().reply(Outcome.NOT_RUN);
    assertThat(f).isNotDone();
    harness.next().succeed(ONCE.key());
    assertThat(f.join().outcome()).isEqualTo(Outcome.STATUS);
  }

  @Test
  void requestThatMayHaveArrivedIsAnsweredUnknown() {
    // Guards against the answer NOT_RUN when a copy whose answer was lost may have been accepted.
    final CompletableFuture<JobReply> f = harness.router.submit(REPEATABLE, 0, "");
    harness.last().fail(true);
    for (int i = 0; i < 200 && !f.isDone(); i++) {
      harness.sent.stream()
          .filter(s -> !s.answer().isDone())
          .toList()
          .forEach(s -> s.reply(Outcome.NOT_RUN));
      harness.advance(100);
    }
    assertThat(f.join().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void passedDeadlineAfterSubmitThatMayHaveArrivedIsAnsweredUnknown() {
    // Guards against the answer that the deadline has passed when a former owner may have started
    // the job before its record was durable.
    final CompletableFuture<JobReply> f = harness.router.submit(REPEATABLE, 0, "");
    harness.last().fail(true);
    harness.owner = "c";
    harness.next().reply(Outcome.TOO_LATE);
    assertThat(f.join().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void conflictAfterSubmitThatMayHaveArrivedIsAnsweredUnknown() {
    // Guards against the answer that only another request used the key when a former owner may have
    // started this one before its record was durable.
    final CompletableFuture<JobReply> f = harness.router.submit(REPEATABLE, 0, "");
    harness.last().fail(true);
    harness.owner = "c";
    harness.next().reply(Outcome.CONFLICT);
    assertThat(f.join().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void requestThatMayHaveArrivedIsNeverDenied() {
    // Guards against a new kind of answer that denies a job which may have run.
    for (Outcome denial : Outcome.values()) {
      if (denial == Outcome.STATUS) {
        continue;
      }
      RouterHarness h = new RouterHarness();
      CompletableFuture<JobReply> f = h.router.submit(REPEATABLE, 0, "");
      h.last().fail(true);
      for (int i = 0; i < 200 && !f.isDone(); i++) {
        h.sent.stream().filter(s -> !s.answer().isDone()).toList().forEach(s -> s.reply(denial));
        h.advance(100);
      }
      assertThat(f.join().outcome()).as(denial.name()).isEqualTo(Outcome.UNKNOWN);
    }
  }

  @Test
  void answerBeforeAnySubmitMayHaveArrivedIsFinal() {
    // Guards against an uncertain answer to a request that certainly reached no owner before.
    for (Outcome o : List.of(Outcome.TOO_LATE, Outcome.CONFLICT, Outcome.NOT_RUN)) {
      RouterHarness h = new RouterHarness();
      CompletableFuture<JobReply> f = h.router.submit(REPEATABLE, 0, "");
      h.last().fail(false);
      h.next().reply(o);
      assertThat(f.join().outcome()).isEqualTo(o);
    }
  }

  @Test
  void waitingRequestFollowsOwnerChange() {
    // Guards against a waiting caller that is answered early, and has to poll, because its job
    // moved to a new owner.
    final CompletableFuture<JobReply> f = harness.router.submit(REPEATABLE, 20_000, "");
    harness.advance(9_000);
    harness.owner = "c";
    harness.last().reply(Outcome.UNKNOWN);
    RouterHarness.Sent second = harness.next();
    assertThat(second.to()).isEqualTo("c");
    assertThat(((SubmitCall) second.message()).waitMillis()).isBetween(10_000L, 11_001L);
    second.succeed(REPEATABLE.key());
    assertThat(f.join().outcome()).isEqualTo(Outcome.STATUS);
  }

  @Test
  void answerOfFormerOwnerAfterAcceptanceIsNotFinal() {
    // Guards against trusting NOT_RUN after the first copy may have been accepted: the old owner
    // accepted it and lost the partition before it could answer.
    final CompletableFuture<JobReply> f = harness.router.submit(ONCE, 0, "");
    harness.last().fail(true);
    harness.next().reply(Outcome.NOT_OWNER);
    RouterHarness.Sent third = harness.next();
    assertThat(third.message()).isInstanceOf(StatusCall.class);
    third.reply(Outcome.NOT_RUN);
    assertThat(f).isNotDone();
  }

  @Test
  void exceptionFromLocalOwnerCountsAsSent() {
    // Guards against a resend after the local owner threw an exception, which may have happened
    // after the job was accepted.
    harness.owner = "self";
    harness.receiveFailure = new IllegalStateException("defect");
    final CompletableFuture<JobReply> f = harness.router.submit(ONCE, 0, "");
    harness.receiveFailure = null;
    RouterHarness.Sent second = harness.next();
    assertThat(second.message()).isInstanceOf(StatusCall.class);
    second.answer().complete(new PeerMessage.Ack());
    harness.next().succeed(ONCE.key());
    assertThat(f.join().outcome()).isEqualTo(Outcome.STATUS);
  }

  @Test
  void suspectedOwnerReceivesNothingUntilReplaced() {
    // Guards against a submit to a failed owner: afterwards only the status of the job could be
    // requested.
    harness.suspects.add(new InstanceId("b"));
    final CompletableFuture<JobReply> f = harness.router.submit(ONCE, 0, "");
    harness.advance(2_000);
    assertThat(harness.sent).isEmpty();
    harness.owner = "c";
    harness.next().reply(Outcome.NOT_RUN);
    assertThat(f.join().outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void failedPartitionReceivesOnlyProbes() {
    // Guards against overloading an owner that still replays its journal: all waiting requests
    // would be sent to it at the same time.
    List<CompletableFuture<JobReply>> all = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      all.add(harness.router.submit(RouterHarness.job("k" + i, true), 5_000, ""));
    }
    int first = harness.sent.size();
    answerPending(Outcome.NOT_OWNER);
    for (int i = 0; i < 100; i++) {
      harness.advance(20);
      answerPending(Outcome.NOT_OWNER);
    }
    assertThat(harness.sent.size() - first).isLessThanOrEqualTo(21);
    for (int i = 0; i < 100; i++) {
      harness.sent.stream().filter(s -> !s.answer().isDone()).toList().forEach(this::succeed);
      harness.advance(20);
    }
    assertThat(all).allMatch(f -> f.join().outcome() == Outcome.STATUS);
  }

  private void answerPending(Outcome outcome) {
    harness.sent.stream().filter(s -> !s.answer().isDone()).toList().forEach(s -> s.reply(outcome));
  }

  private void succeed(RouterHarness.Sent s) {
    s.succeed(REPEATABLE.key());
  }

  @Test
  void resendsStayWithinRetryBudget() {
    // Guards against resends that multiply after failures and keep an overloaded owner from
    // recovering.
    for (int i = 0; i < 1_000; i++) {
      harness.admission = 100_000;
      harness.router.submit(RouterHarness.job("k" + i, true), 0, "");
    }
    harness.sent.forEach(s -> s.fail(true));
    for (int i = 0; i < 500; i++) {
      harness.advance(10);
      harness.sent.stream().filter(s -> !s.answer().isDone()).toList().forEach(this::refuseSubmits);
    }
    long resent =
        harness.sent.stream().skip(1_000).filter(s -> s.message() instanceof SubmitCall).count();
    assertThat(resent).isLessThanOrEqualTo(250);
  }

  private void refuseSubmits(RouterHarness.Sent s) {
    s.reply(s.message() instanceof SubmitCall ? Outcome.NOT_RUN : Outcome.NOT_FOUND);
  }

  @Test
  void requestOverAdmissionLimitIsRefusedOnlyIfUnknown() {
    // Guards against a limit that refuses the retry of a request whose job is already running.
    harness.admission = 1;
    harness.router.submit(RouterHarness.job("a", true), 0, "");
    CompletableFuture<JobReply> known = harness.router.submit(REPEATABLE, 0, "");
    assertThat(harness.last().message()).isInstanceOf(StatusCall.class);
    harness.last().succeed(REPEATABLE.key());
    assertThat(known.join().outcome()).isEqualTo(Outcome.STATUS);
    CompletableFuture<JobReply> fresh = harness.router.submit(ONCE, 0, "");
    // The owner must record the refusal, because another copy may be in flight.
    assertThat(harness.last().message()).isInstanceOf(PeerMessage.RefuseCall.class);
    harness.last().reply(Outcome.NOT_RUN);
    assertThat(fresh.join().outcome()).isEqualTo(Outcome.OVER_LIMIT);
    CompletableFuture<JobReply> urgent = harness.router.submit(REPEATABLE, 0, "");
    harness.last().reply(Outcome.NOT_FOUND);
    assertThat(urgent.join().outcome()).isEqualTo(Outcome.UNKNOWN);
    CompletableFuture<JobReply> unanswered = harness.router.submit(ONCE, 0, "");
    for (int i = 0; i < 20; i++) {
      harness.sent.stream().filter(s -> !s.answer().isDone()).skip(1).forEach(s -> s.fail(true));
      harness.advance(100);
    }
    assertThat(unanswered.join().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void waitingRequestsAreBounded() {
    // Guards against waiting requests that exhaust the memory of a small instance.
    harness.admission = 1_000_000;
    for (int i = 0; i < JobRouter.MAX_ROUTES + JobRouter.MAX_REFUSALS; i++) {
      harness.router.submit(RouterHarness.job("k" + i, true), 0, "");
    }
    assertThat(harness.router.waitingRequests()).isEqualTo(JobRouter.MAX_ROUTES);
    final CompletableFuture<JobReply> f = harness.router.submit(ONCE, 0, "");
    assertThat(f.join().outcome()).isEqualTo(Outcome.UNKNOWN);
    harness.sent.stream().toList().forEach(this::succeed);
    assertThat(harness.router.waitingRequests()).isZero();
    assertThat(harness.router.waitingBytes()).isZero();
  }

  @Test
  void stopAnswersWaitingCallersWithUnknown() {
    // Guards against a graceful stop that closes connections without answering the waiting callers.
    final CompletableFuture<JobReply> f = harness.router.submit(REPEATABLE, 60_000, "");
    harness.router.stop();
    assertThat(f.join().outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(harness.router.waitingRequests()).isZero();
  }
}
