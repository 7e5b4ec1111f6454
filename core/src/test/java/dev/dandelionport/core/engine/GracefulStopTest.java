package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import dev.dandelionport.core.testing.Cell.Request;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class GracefulStopTest {

  private static void submitAll(Cell cell, Instance entry) {
    for (int i = 0; i < 40; i++) {
      String run = i % 2 == 0 ? "run=1" : "run=1500";
      cell.submit(entry, cell.spec("d" + i, WorkloadClass.DEFERRABLE, i % 4 < 2, run));
    }
  }

  /**
   * Guards against a graceful stop that loses accepted jobs or leaves a partition without an owner.
   */
  @Test
  void stopHandsPartitionsOverWithoutLosingJobs() {
    for (int seed = 1; seed <= 5; seed++) {
      Cell cell = new Cell(seed, 3, 4, 16).start();
      Instance leaving = cell.owner("d0");
      submitAll(cell, cell.anyOtherThan(leaving));
      cell.time.runFor(30);
      CompletableFuture<Void> stopped = leaving.engine.stop();
      cell.time.runUntil(stopped::isDone, 5_000);
      assertThat(stopped).isCompletedWithValue(null);
      leaving.kill();
      cell.awaitServed(1_000);
      cell.awaitAnswers(20_000);
      assertThat(cell.violations()).as("seed %d", seed).isEmpty();
      assertThat(cell.requests.values()).allMatch(Request::isFinal);
    }
  }

  /** Guards against a cell that cannot be restarted after its last instance has stopped. */
  @Test
  void nextInstanceTakesOverAfterLastInstanceStopped() {
    Cell cell = new Cell(7, 1, 2, 4).start();
    Instance first = cell.instances.get("tallinn-1");
    submitAll(cell, first);
    cell.time.runFor(700);
    CompletableFuture<Void> stopped = first.engine.stop();
    cell.time.runUntil(stopped::isDone, 10_000);
    assertThat(stopped).isCompletedWithValue(null);
    first.kill();
    Instance second = cell.add("tallinn-2", "tallinn");
    second.engine.start();
    cell.awaitServed(10_000);
    cell.awaitAnswers(30_000);
    assertThat(cell.violations()).isEmpty();
  }

  private static AssignmentTable table(Cell cell) {
    byte[] value = cell.store.read(ControlKeys.ASSIGNMENT).orElseThrow();
    return JsonCodec.decode(value, AssignmentTable.class);
  }

  /**
   * Guards against partitions that have no owner after a stop until another instance claims them.
   */
  @Test
  void stopAssignsNextOwnersInTheTable() {
    Cell cell = new Cell(9, 3, 4, 16).start();
    Instance leaving = cell.owner("d0");
    CompletableFuture<Void> stopped = leaving.engine.stop();
    cell.time.runUntil(stopped::isDone, 5_000);
    AssignmentTable t = table(cell);
    assertThat(t.members()).doesNotContainKey(leaving.info.id().value()).hasSize(2);
    assertThat(t.owners()).hasSize(4);
    assertThat(t.owners().values()).noneMatch(o -> o.owner().equals(leaving.info.id()));
    assertThat(t.owners().values()).filteredOn(o -> o.epoch() > 1).allMatch(o -> o.released());
  }

  /**
   * Guards against epochs that restart from 1 after the last instance has left, so that workers
   * refuse the next owner's starts.
   */
  @Test
  void epochsSurviveStopOfTheLastInstance() {
    Cell cell = new Cell(10, 1, 2, 4).start();
    Instance first = cell.instances.get("tallinn-1");
    CompletableFuture<Void> stopped = first.engine.stop();
    cell.time.runUntil(stopped::isDone, 10_000);
    first.kill();
    final AssignmentTable tableAfterStop = table(cell);
    assertThat(tableAfterStop.members()).isEmpty();
    assertThat(tableAfterStop.owners()).hasSize(2);
    cell.add("tallinn-2", "tallinn").engine.start();
    cell.awaitServed(10_000);
    table(cell)
        .owners()
        .forEach(
            (p, o) -> assertThat(o.epoch()).isEqualTo(tableAfterStop.owners().get(p).epoch() + 1));
    cell.submitUrgent(cell.instances.get("tallinn-2"), "u", "run=10");
    cell.time.runFor(1_000);
    assertThat(cell.requests.get("u").phase()).isEqualTo(JobPhase.SUCCEEDED);
  }

  /**
   * Guards against a graceful stop that, with the store down, takes longer than docs/OPERATIONS.md
   * states.
   */
  @Test
  void stopCompletesWithoutTheStore() {
    Cell cell = new Cell(8, 3, 2, 4).start();
    Instance leaving = cell.owner("d0");
    cell.store.setDown(true);
    submitAll(cell, leaving);
    cell.time.runFor(50);
    CompletableFuture<Void> stopped = leaving.engine.stop();
    cell.time.runUntil(stopped::isDone, 13_500);
    assertThat(stopped).isCompletedWithValue(null);
    leaving.kill();
    cell.store.setDown(false);
    cell.awaitAnswers(60_000);
    assertThat(cell.violations()).isEmpty();
    assertThat(cell.requests.values())
        .allMatch(
            r ->
                r.lastAnswer.outcome() == Outcome.STATUS
                    || r.lastAnswer.outcome() == Outcome.NOT_RUN);
  }
}
