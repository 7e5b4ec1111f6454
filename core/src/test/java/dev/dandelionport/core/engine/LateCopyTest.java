package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.SubmitCall;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import dev.dandelionport.core.testing.Cell.Request;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that copies of a submit are not accepted after the request was refused as not run. */
class LateCopyTest {

  private static final String JOURNAL = "/dandelionport/partitions/";

  private static Cell cell() {
    Cell cell = new Cell(11, 4, 1, 4).start();
    cell.time.runFor(1_000);
    return cell;
  }

  private static boolean isSubmit(PeerMessage m, String key) {
    return m instanceof SubmitCall c && c.spec().key().requestKey().equals(key);
  }

  private static Request submitAndAwaitRefusal(Cell cell, Instance entry, JobSpec spec) {
    // The owner keeps its lease, so that late copies find the same owner.
    cell.store.loseRequests((op, k) -> op.equals("swap") && k.startsWith(JOURNAL));
    // The record of this job makes the journal wait for the store.
    cell.submitUrgent(entry, "filler", "run=10");
    cell.time.runFor(500);
    Request r = cell.submit(entry, spec);
    cell.time.runUntil(r::isFinal, 10_000);
    assertThat(r.lastAnswer.outcome()).isEqualTo(Outcome.NOT_RUN);
    return r;
  }

  /**
   * Guards against a frame that the transport delivers twice, the second time after the refusal.
   */
  @ParameterizedTest
  @ValueSource(longs = {1_000, 2_500, 5_000, 60_000, 70_000})
  void copyDeliveredAfterTheRefusalIsNotAccepted(long laterMillis) {
    Cell cell = cell();
    Instance entry = cell.anyOtherThan(cell.owner("c"));
    cell.peers.duplicate(m -> isSubmit(m, "c"), laterMillis);
    submitAndAwaitRefusal(cell, entry, cell.spec("c", WorkloadClass.DEFERRABLE, true, "run=10"));
    cell.store.loseRequests((op, key) -> false);
    cell.time.runFor(80_000);
    assertThat(cell.violations()).isEmpty();
    assertThat(cell.workers.runsOf("c")).isEmpty();
    assertThat(cell.requests.get("filler").phase()).isEqualTo(JobPhase.SUCCEEDED);
  }

  /**
   * Guards against a copy from another entry instance whose connection delivers it only after the
   * refusal.
   */
  @ParameterizedTest
  @EnumSource(
      value = WorkloadClass.class,
      names = {"URGENT", "DEFERRABLE"})
  void copyDelayedOnAnotherConnectionIsNotAccepted(WorkloadClass c) {
    Cell cell = cell();
    Instance first = cell.anyOtherThan(cell.owner("c"));
    final Instance second =
        cell.instances.values().stream()
            .filter(i -> i != first && i != cell.owner("c"))
            .findFirst()
            .orElseThrow();
    JobSpec spec = cell.spec("c", c, false, "run=10");
    cell.peers.delay(m -> isSubmit(m, "c"), 20_000);
    first.router.submit(spec, 5_000, "");
    cell.time.runFor(200);
    cell.peers.delay(m -> false, 0);
    submitAndAwaitRefusal(cell, second, spec);
    cell.store.loseRequests((op, key) -> false);
    cell.time.runFor(30_000);
    assertThat(cell.violations()).isEmpty();
    assertThat(cell.workers.runsOf("c")).isEmpty();
  }

  /**
   * Guards against an entry instance that sends a request to a new owner after the former one has
   * refused another copy of it.
   */
  @Test
  void copySentToTheNextOwnerIsNotAccepted() {
    Cell cell = cell();
    Instance owner = cell.owner("c");
    Instance first = cell.anyOtherThan(owner);
    JobSpec spec = cell.spec("c", WorkloadClass.DEFERRABLE, true, "run=10");
    // The first entry instance cannot send its copy before the owner fails, because it first needs
    // the owner's clock.
    cell.peers.delay(m -> m instanceof PeerMessage.ClockCall, 1_000_000);
    final CompletableFuture<JobReply> firstReply = first.router.submit(spec, 60_000, "");
    submitAndAwaitRefusal(cell, owner, spec);
    owner.kill();
    cell.peers.delay(m -> false, 0);
    cell.store.loseRequests((op, key) -> false);
    cell.awaitServed(10_000);
    cell.time.runFor(60_000);
    assertThat(cell.violations()).isEmpty();
    assertThat(cell.workers.runsOf("c")).isEmpty();
    assertThat(firstReply.join().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /**
   * Guards against a refusal for the admission limit that is not recorded by the owner, so that a
   * copy in flight is accepted afterwards.
   */
  @Test
  void copyInFlightIsNotAcceptedAfterAdmissionLimitRefusal() {
    Cell cell = cell();
    Instance owner = cell.owner("c");
    Instance entry = cell.anyOtherThan(owner);
    JobSpec spec = cell.spec("c", WorkloadClass.DEFERRABLE, true, "run=10");
    cell.peers.delay(m -> isSubmit(m, "c"), 3_000);
    entry.router.submit(spec, 60_000, "");
    cell.time.runFor(100);
    for (int i = 0; i < 1_000; i++) {
      entry.router.submit(cell.spec("f" + i, WorkloadClass.DEFERRABLE, true, "run=1"), 0, "");
    }
    CompletableFuture<JobReply> overLimit = entry.router.submit(spec, 0, "");
    cell.time.runFor(1_000);
    assertThat(overLimit.join().outcome()).isEqualTo(Outcome.OVER_LIMIT);
    cell.time.runFor(10_000);
    assertThat(cell.workers.runsOf("c")).isEmpty();
  }

  /**
   * Guards against a recorded refusal that also blocks the caller's next submission of the same
   * request.
   */
  @Test
  void refusedRequestIsAcceptedWhenSubmittedAgain() {
    Cell cell = cell();
    Instance entry = cell.anyOtherThan(cell.owner("c"));
    JobSpec spec = cell.spec("c", WorkloadClass.DEFERRABLE, true, "run=10");
    submitAndAwaitRefusal(cell, entry, spec);
    cell.store.loseRequests((op, key) -> false);
    cell.time.runFor(1_000);
    Request resubmitted = cell.submit(entry, spec);
    cell.awaitAnswers(10_000);
    assertThat(resubmitted.phase()).isEqualTo(JobPhase.SUCCEEDED);
  }
}
