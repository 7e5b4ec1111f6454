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

/** Syncs with idle workers wait for long; nothing that matters may wait for their end. */
class IdleWorkerTest {

  private static final WorkerId W0 = new WorkerId("tallinn-w0");

  private final Cell cell = new Cell(7, 3, 1, 1).start();
  private final Instance entry = cell.instances.get("tallinn-1");

  /** Guards against the cost of short polls of workers that have no lease to renew. */
  @Test
  void idleWorkerIsAskedAboutOnceMinute() {
    cell.time.runFor(20_000);
    long before = cell.workers.syncs();
    cell.time.runFor(300_000);
    assertThat(cell.workers.syncs() - before).isBetween(4L, 7L);
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against a lease that ends because the long wait under way renews nothing. */
  @Test
  void taskStartedDuringLongWaitKeepsItsLease() {
    for (int idle : List.of(1_000, 3_000, 20_000, 30_000)) {
      cell.time.runFor(idle);
      Request r = cell.submitNotRepeatable(entry, "c" + idle, "run=30000");
      cell.awaitAnswers(60_000);
      assertThat(r.phase()).as("after %d ms", idle).isEqualTo(JobPhase.SUCCEEDED);
    }
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against a long wait that begins while a start is still on its way. */
  @Test
  void taskWhoseStartArrivedLateKeepsItsLease() {
    cell.time.runFor(20_000);
    cell.workers.delayStarts(c -> true, 1_500);
    Request r = cell.submitNotRepeatable(entry, "late", "run=30000");
    cell.awaitAnswers(60_000);
    assertThat(r.phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against a result that is heard of late because the long wait's connection is silent. */
  @Test
  void endOfTaskIsHeardOfAlthoughLongWaitWentSilent() {
    for (int idle : List.of(1_000, 20_000)) {
      cell.time.runFor(idle);
      cell.workers.loseWaitingSyncs(W0);
      Request r = cell.submitNotRepeatable(entry, "c" + idle, "run=500");
      cell.awaitAnswers(5_500);
      assertThat(r.phase()).as("after %d ms", idle).isEqualTo(JobPhase.SUCCEEDED);
    }
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against starts refused again and again for the incarnation of a former worker. */
  @Test
  void restartOfIdleWorkerIsNoticedByFirstStart() {
    cell.time.runFor(20_000);
    cell.workers.loseWaitingSyncs(W0);
    cell.workers.restart(W0);
    Request r = cell.submitUrgent(entry, "u", "run=20");
    cell.awaitAnswers(4_600);
    assertThat(r.phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against an idle worker that attracts work for a minute after it has gone silent. */
  @Test
  void silenceOfIdleWorkerIsNoticedByFirstStart() {
    Cell two = new Cell(8, 3, 1, 2).start();
    Instance to = two.instances.get("tallinn-1");
    two.time.runFor(20_000);
    two.workers.setSilent(W0, true);
    List<Request> first = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      first.add(two.submitUrgent(to, "first" + i, "run=20"));
    }
    two.time.runFor(2_200);
    assertThat(startsOn(two, W0)).isPositive();
    long before = startsOn(two, W0);
    for (int i = 0; i < 8; i++) {
      two.submitUrgent(to, "second" + i, "run=20");
    }
    two.awaitAnswers(25_000);
    assertThat(startsOn(two, W0)).isEqualTo(before);
    assertThat(first).allMatch(r -> r.phase() == JobPhase.SUCCEEDED);
    assertThat(two.violations()).isEmpty();
  }

  private static long startsOn(Cell cell, WorkerId w) {
    return cell.instances.values().stream()
        .flatMap(i -> i.events(EngineEvent.StartSent.class).stream())
        .filter(s -> s.worker().equals(w))
        .count();
  }

  /** Guards against a change that is missed because most instance lists are not passed on. */
  @Test
  void workerThatIsListedLaterGetsWork() {
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

  /** Guards against a takeover that waits for the former owner's long wait. */
  @Test
  void newOwnerServesWhileFormerOwnersLongWaitIsUnderWay() {
    cell.time.runFor(20_000);
    Instance owner = cell.owner("u");
    owner.kill();
    Request r = cell.submitUrgent(cell.anyOtherThan(owner), "u", "run=20");
    cell.awaitAnswers(4_600);
    assertThat(r.phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.violations()).isEmpty();
  }
}
