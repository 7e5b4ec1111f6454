package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import dev.dandelionport.core.testing.Cell.Request;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that the long polls of idle workers do not delay starts, lease renewals, results or failure
 * detection.
 */
class IdleWorkerTest {

  private static final WorkerId W0 = new WorkerId("tallinn-w0");

  private final Cell cell = new Cell(7, 3, 1, 1).start();
  private final Instance entry = cell.instances.get("tallinn-1");

  /** Guards against the network load of short polls of workers that have no lease to renew. */
  @Test
  void idleWorkerIsPolledAboutOncePerMinute() {
    cell.time.runFor(20_000);
    long before = cell.workers.syncs();
    cell.time.runFor(300_000);
    assertThat(cell.workers.syncs() - before).isBetween(4L, 7L);
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against a lease that expires because the long poll in flight renews no lease. */
  @Test
  void taskStartedDuringLongPollKeepsItsLease() {
    for (int idle : List.of(1_000, 3_000, 20_000, 30_000)) {
      cell.time.runFor(idle);
      Request r = cell.submitNotRepeatable(entry, "c" + idle, "run=30000");
      cell.awaitAnswers(60_000);
      assertThat(r.phase()).as("after %d ms", idle).isEqualTo(JobPhase.SUCCEEDED);
    }
    assertThat(cell.violations()).isEmpty();
  }

  /**
   * Guards against a long poll that begins while a delayed start is still in flight, so that the
   * task's lease is not renewed.
   */
  @Test
  void taskWhoseStartArrivedLateKeepsItsLease() {
    cell.time.runFor(20_000);
    cell.workers.delayStarts(c -> true, 1_500);
    Request r = cell.submitNotRepeatable(entry, "late", "run=30000");
    cell.awaitAnswers(60_000);
    assertThat(r.phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.violations()).isEmpty();
  }

  /**
   * Guards against a result that is received late because the connection of the long poll has
   * failed silently.
   */
  @Test
  void taskEndIsReportedAlthoughLongPollConnectionFailed() {
    for (int idle : List.of(1_000, 20_000)) {
      cell.time.runFor(idle);
      cell.workers.loseWaitingSyncs(W0);
      Request r = cell.submitNotRepeatable(entry, "c" + idle, "run=500");
      cell.awaitAnswers(5_500);
      assertThat(r.phase()).as("after %d ms", idle).isEqualTo(JobPhase.SUCCEEDED);
    }
    assertThat(cell.violations()).isEmpty();
  }

  /**
   * Guards against starts that are refused repeatedly because they name the incarnation of the
   * worker before its restart. The long poll does not show the restart.
   */
  @Test
  void firstStartDetectsRestartOfIdleWorker() {
    cell.time.runFor(20_000);
    cell.workers.loseWaitingSyncs(W0);
    cell.workers.restart(W0);
    Request r = cell.submitUrgent(entry, "u", "run=20");
    cell.awaitAnswers(4_600);
    assertThat(r.phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.violations()).isEmpty();
  }

  /**
   * Guards against an idle worker that no longer answers but is given tasks until its long poll
   * ends a minute later.
   */
  @Test
  void firstStartsDetectUnresponsiveIdleWorker() {
    Cell twoWorkerCell = new Cell(8, 3, 1, 2).start();
    Instance twoWorkerEntry = twoWorkerCell.instances.get("tallinn-1");
    twoWorkerCell.time.runFor(20_000);
    twoWorkerCell.workers.setUnresponsive(W0, true);
    List<Request> first = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      first.add(twoWorkerCell.submitUrgent(twoWorkerEntry, "first" + i, "run=20"));
    }
    twoWorkerCell.time.runFor(2_200);
    assertThat(startsOn(twoWorkerCell, W0)).isPositive();
    long before = startsOn(twoWorkerCell, W0);
    for (int i = 0; i < 8; i++) {
      twoWorkerCell.submitUrgent(twoWorkerEntry, "second" + i, "run=20");
    }
    twoWorkerCell.awaitAnswers(25_000);
    assertThat(startsOn(twoWorkerCell, W0)).isEqualTo(before);
    assertThat(first).allMatch(r -> r.phase() == JobPhase.SUCCEEDED);
    assertThat(twoWorkerCell.violations()).isEmpty();
  }

  private static long startsOn(Cell cell, WorkerId w) {
    return cell.instances.values().stream()
        .flatMap(i -> i.events(EngineEvent.StartSent.class).stream())
        .filter(s -> s.worker().equals(w))
        .count();
  }

  /**
   * Guards against a new worker that is missed because unchanged instance lists are not passed to
   * the hosts.
   */
  @Test
  void workerAddedLaterGetsWork() {
    cell.time.runFor(25_000);
    ResourceVector size = new ResourceVector(8, 64, 16_000, 64_000, 0);
    WorkerId added = new WorkerId("tallinn-w1");
    cell.workers.add(
        new WorkerInfo(added, "tallinn", "tallinn-b", "rack-1", "10.0.1.1", 1, size, false));
    cell.time.runFor(1_500);
    for (int i = 0; i < 16; i++) {
      cell.submitUrgent(entry, "u" + i, "run=2000");
    }
    cell.awaitAnswers(4_600);
    assertThat(startsOn(cell, added)).isPositive();
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against a takeover that is delayed until the former owner's long poll ends. */
  @Test
  void newOwnerServesDuringFormerOwnersLongPoll() {
    cell.time.runFor(20_000);
    Instance owner = cell.owner("u");
    owner.kill();
    Request r = cell.submitUrgent(cell.anyOtherThan(owner), "u", "run=20");
    cell.awaitAnswers(4_600);
    assertThat(r.phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.violations()).isEmpty();
  }
}
