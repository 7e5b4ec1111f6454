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

  private final RouterHarness cell = new RouterHarness();

  @Test
  void notRepeatableRequestIsSentOnceAndThenOnlyAskedAbout() {
    // Guards against a second copy of a job that must not run twice, when the first owner may have
    // started it but its answer was lost.
    final CompletableFuture<JobReply> f = cell.router.submit(ONCE, 5_000, "");
    cell.last().fail(true);
    for (int i = 0; i < 5; i++) {
      cell.next().fail(true);
    }
    cell.next().succeed(ONCE.key());
    assertThat(f.join().outcome()).isEqualTo(Outcome.STATUS);
    assertThat(cell.sent.get(0).message()).isInstanceOf(SubmitCall.class);
    assertThat(cell.sent.subList(1, cell.sent.size()))
        .allMatch(s -> s.message() instanceof StatusCall);
  }

  @Test
  void requestThatCertainlyWasNotSentIsSentToTheNextOwner() {
    // Guards against a refused connection that is treated as a sent request: the job's outcome
    // would be unknown although no owner received it.
    final CompletableFuture<JobReply> f = cell.router.submit(ONCE, 5_000, "");
    cell.last().fail(false);
    cell.owner = "c";
    RouterHarness.Sent second = cell.next();
    assertThat(second.to()).isEqualTo("c");
    assertThat(second.message()).isInstanceOf(SubmitCall.class);
    second.succeed(ONCE.key());
    assertThat(f.join().outcome()).isEqualTo(Outcome.STATUS);
  }

  @Test
  void statusThatOvertakesSubmitGivesNoFinalAnswer() {
    // Guards against a final answer while the submit may still be in flight: the owner answers the
    // status request first and does not have the job yet.
    final CompletableFuture<JobReply> f = cell.router.submit(ONCE, 0, "");
    cell.last().fail(true);
    cell.next().reply(Outcome.NOT_FOUND);
    assertThat(f).isNotDone();
    cell.next().reply(Outcome.NOT_RUN);
    assertThat(f).isNotDone();
    cell.next().succeed(ONCE.key());
    assertThat(f.join().outcome()).isEqualTo(Outcome.STATUS);
  }

  @Test
  void requestThatMayHaveArrivedEndsUnknown() {
    // Guards against the answer NOT_RUN when a copy whose answer was lost may have been accepted.
    final CompletableFuture<JobReply> f = cell.router.submit(REPEATABLE, 0, "");
    cell.last().fail(true);
    for (int i = 0; i < 200 && !f.isDone(); i++) {
      cell.sent.stream()
          .filter(s -> !s.answer().isDone())
          .toList()
          .forEach(s -> s.reply(Outcome.NOT_RUN));
      cell.advance(100);
    }
    assertThat(f.join().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void waitingRequestFollowsTheOwner() {
    // Guards against a waiting caller that is answered early, and has to poll, because its job
    // moved to a new owner.
    final CompletableFuture<JobReply> f = cell.router.submit(REPEATABLE, 20_000, "");
    cell.advance(9_000);
    cell.owner = "c";
    cell.last().reply(Outcome.UNKNOWN);
    RouterHarness.Sent second = cell.next();
    assertThat(second.to()).isEqualTo("c");
    assertThat(((SubmitCall) second.message()).waitMillis()).isBetween(10_000L, 11_001L);
    second.succeed(REPEATABLE.key());
    assertThat(f.join().outcome()).isEqualTo(Outcome.STATUS);
  }

  @Test
  void answerOfFormerOwnerAfterAcceptanceIsNotFinal() {
    // Guards against trusting NOT_RUN after the first copy may have been accepted: the old owner
    // accepted it and lost the partition before it could answer.
    final CompletableFuture<JobReply> f = cell.router.submit(ONCE, 0, "");
    cell.last().fail(true);
    cell.next().reply(Outcome.NOT_OWNER);
    RouterHarness.Sent third = cell.next();
    assertThat(third.message()).isInstanceOf(StatusCall.class);
    third.reply(Outcome.NOT_RUN);
    assertThat(f).isNotDone();
  }

  @Test
  void failingLocalOwnerCountsAsSent() {
    // Guards against a resend after the local owner threw an exception, which may have happened
    // after the job was accepted.
    cell.owner = "self";
    cell.receiveFailure = new IllegalStateException("defect");
    final CompletableFuture<JobReply> f = cell.router.submit(ONCE, 0, "");
    cell.receiveFailure = null;
    RouterHarness.Sent second = cell.next();
    assertThat(second.message()).isInstanceOf(StatusCall.class);
    second.answer().complete(new PeerMessage.Ack());
    cell.next().succeed(ONCE.key());
    assertThat(f.join().outcome()).isEqualTo(Outcome.STATUS);
  }

  @Test
  void suspectOwnerGetsNothingUntilItIsReplaced() {
    // Guards against a submit to a failed owner: afterwards only the status of the job could be
    // requested.
    cell.suspects.add(new InstanceId("b"));
    final CompletableFuture<JobReply> f = cell.router.submit(ONCE, 0, "");
    cell.advance(2_000);
    assertThat(cell.sent).isEmpty();
    cell.owner = "c";
    cell.next().reply(Outcome.NOT_RUN);
    assertThat(f.join().outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void closedGateLetsOnlyProbesPass() {
    // Guards against overloading an owner that still replays its journal: all waiting requests
    // would be sent to it at the same time.
    List<CompletableFuture<JobReply>> all = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      all.add(cell.router.submit(RouterHarness.job("k" + i, true), 5_000, ""));
    }
    int first = cell.sent.size();
    answerOpen(Outcome.NOT_OWNER);
    for (int i = 0; i < 100; i++) {
      cell.advance(20);
      answerOpen(Outcome.NOT_OWNER);
    }
    assertThat(cell.sent.size() - first).isLessThanOrEqualTo(21);
    for (int i = 0; i < 100; i++) {
      cell.sent.stream().filter(s -> !s.answer().isDone()).toList().forEach(this::succeed);
      cell.advance(20);
    }
    assertThat(all).allMatch(f -> f.join().outcome() == Outcome.STATUS);
  }

  private void answerOpen(Outcome outcome) {
    cell.sent.stream().filter(s -> !s.answer().isDone()).toList().forEach(s -> s.reply(outcome));
  }

  private void succeed(RouterHarness.Sent s) {
    s.succeed(REPEATABLE.key());
  }

  @Test
  void resendsStayWithinTheBudget() {
    // Guards against resends that multiply after failures and keep an overloaded owner from
    // recovering.
    for (int i = 0; i < 1_000; i++) {
      cell.admission = 100_000;
      cell.router.submit(RouterHarness.job("k" + i, true), 0, "");
    }
    cell.sent.forEach(s -> s.fail(true));
    for (int i = 0; i < 500; i++) {
      cell.advance(10);
      cell.sent.stream().filter(s -> !s.answer().isDone()).toList().forEach(this::refuseSubmits);
    }
    long resent =
        cell.sent.stream().skip(1_000).filter(s -> s.message() instanceof SubmitCall).count();
    assertThat(resent).isLessThanOrEqualTo(250);
  }

  private void refuseSubmits(RouterHarness.Sent s) {
    s.reply(s.message() instanceof SubmitCall ? Outcome.NOT_RUN : Outcome.NOT_FOUND);
  }

  @Test
  void requestOverTheAdmissionLimitIsRefusedOnlyIfItIsNotKnown() {
    // Guards against a limit that refuses the retry of a request whose job is already running.
    cell.admission = 1;
    cell.router.submit(RouterHarness.job("a", true), 0, "");
    CompletableFuture<JobReply> known = cell.router.submit(REPEATABLE, 0, "");
    assertThat(cell.last().message()).isInstanceOf(StatusCall.class);
    cell.last().succeed(REPEATABLE.key());
    assertThat(known.join().outcome()).isEqualTo(Outcome.STATUS);
    CompletableFuture<JobReply> fresh = cell.router.submit(ONCE, 0, "");
    // The owner must record the refusal, because another copy may be in flight.
    assertThat(cell.last().message()).isInstanceOf(PeerMessage.RefuseCall.class);
    cell.last().reply(Outcome.NOT_RUN);
    assertThat(fresh.join().outcome()).isEqualTo(Outcome.OVER_LIMIT);
    CompletableFuture<JobReply> urgent = cell.router.submit(REPEATABLE, 0, "");
    cell.last().reply(Outcome.NOT_FOUND);
    assertThat(urgent.join().outcome()).isEqualTo(Outcome.UNKNOWN);
    CompletableFuture<JobReply> unasked = cell.router.submit(ONCE, 0, "");
    for (int i = 0; i < 20; i++) {
      cell.sent.stream().filter(s -> !s.answer().isDone()).skip(1).forEach(s -> s.fail(true));
      cell.advance(100);
    }
    assertThat(unasked.join().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void waitingRequestsAreBounded() {
    // Guards against waiting requests that exhaust the memory of a small instance.
    cell.admission = 1_000_000;
    for (int i = 0; i < JobRouter.MAX_ROUTES + JobRouter.MAX_REFUSALS; i++) {
      cell.router.submit(RouterHarness.job("k" + i, true), 0, "");
    }
    assertThat(cell.router.waitingRequests()).isEqualTo(JobRouter.MAX_ROUTES);
    final CompletableFuture<JobReply> f = cell.router.submit(ONCE, 0, "");
    assertThat(f.join().outcome()).isEqualTo(Outcome.UNKNOWN);
    cell.sent.stream().toList().forEach(this::succeed);
    assertThat(cell.router.waitingRequests()).isZero();
    assertThat(cell.router.waitingBytes()).isZero();
  }

  @Test
  void stopTellsWaitingCallersToAskElsewhere() {
    // Guards against a graceful stop that closes connections without answering the waiting callers.
    final CompletableFuture<JobReply> f = cell.router.submit(REPEATABLE, 60_000, "");
    cell.router.stop();
    assertThat(f.join().outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(cell.router.waitingRequests()).isZero();
  }
}
