package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards gangs: all tasks or none, no starvation, no deadlock. */
class GangTest {

  private static JobSpec gang(String key, int tasks) {
    return TestSpecs.job("a", key, WorkloadClass.GANG, tasks, true);
  }

  private static JobSpec filler(int i) {
    return TestSpecs.job("b", "f" + i, WorkloadClass.DEFERRABLE, 1, true);
  }

  private static TestCell fullCell() {
    TestCell cell = new TestCell(3, 4, 100);
    for (int i = 0; i < 12; i++) {
      cell.submit(filler(i));
    }
    return cell;
  }

  /** Failure: a part of a gang starts and holds room that the rest needs. */
  @Test
  void aGangStartsAllOfItsTasksOrNone() {
    TestCell cell = fullCell();
    cell.submit(gang("g", 6));
    cell.finish(filler(0), AttemptOutcome.SUCCEEDED);
    cell.finish(filler(1), AttemptOutcome.SUCCEEDED);
    assertThat(cell.running(gang("g", 6))).isEmpty();
    for (int i = 2; i < 12; i++) {
      cell.finish(filler(i), AttemptOutcome.SUCCEEDED);
    }
    assertThat(cell.running(gang("g", 6))).hasSize(6);
  }

  /** Failure: small tasks that keep arriving take each slot before the gang has enough. */
  @Test
  void backfillDoesNotDelayAReservation() {
    TestCell cell = fullCell();
    cell.submit(gang("g", 6));
    for (int i = 12; i < 60; i++) {
      cell.submit(filler(i));
    }
    for (int i = 0; i < 12; i++) {
      cell.finish(filler(i), AttemptOutcome.SUCCEEDED);
      cell.advance(1_000);
    }
    assertThat(cell.running(gang("g", 6))).hasSize(6);
  }

  /** Failure: two gangs each hold half of the room and wait for the other half. */
  @Test
  void twoGangsThatNeedMostOfTheCellRunOneAfterTheOther() {
    TestCell cell = fullCell();
    cell.submit(gang("g1", 8));
    cell.submit(gang("g2", 8));
    for (int i = 0; i < 12; i++) {
      cell.finish(filler(i), AttemptOutcome.SUCCEEDED);
    }
    assertThat(cell.running(gang("g1", 8))).hasSize(8);
    assertThat(cell.running(gang("g2", 8))).isEmpty();
    cell.finish(gang("g1", 8), AttemptOutcome.SUCCEEDED);
    assertThat(cell.running(gang("g2", 8))).hasSize(8);
  }

  /** Failure: a gang keeps a reservation in a failure domain that was drained. */
  @Test
  void aGangStartsOutsideAFailureDomainThatWasDrained() {
    TestCell cell = fullCell();
    cell.submit(gang("g", 6));
    cell.setManifest(TestSpecs.manifest(100, Set.of("d1")));
    for (int i = 0; i < 12; i++) {
      cell.finish(filler(i), AttemptOutcome.SUCCEEDED);
    }
    cell.advance(200);
    assertThat(cell.running(gang("g", 6))).hasSize(6);
    assertThat(cell.worker(1).running).isEmpty();
  }

  /** Failure: a gang runs on without the task that was lost. */
  @Test
  void aGangRestartsAllItsTasksWhenOneFails() {
    TestCell cell = new TestCell(3, 4, 100);
    JobSpec g = gang("g", 6);
    cell.submit(g);
    AttemptId one = cell.running(g).get(0);
    cell.workers.values().forEach(w -> w.end(one, AttemptOutcome.FAILED, "x"));
    cell.advance(1_000);
    assertThat(cell.running(g)).hasSize(6).allMatch(a -> a.attempt() == 2);
    cell.finish(g, AttemptOutcome.SUCCEEDED);
    assertThat(cell.status(g).phase()).isEqualTo(JobPhase.SUCCEEDED);
  }

  /** Failure: a task of a gang that has already succeeded runs a second time. */
  @Test
  void aRestartedGangKeepsTheResultsOfFinishedTasks() {
    TestCell cell = new TestCell(3, 4, 100);
    JobSpec g = gang("g", 6);
    cell.submit(g);
    AttemptId done = cell.running(g).get(0);
    AttemptId failed = cell.running(g).get(1);
    cell.workers.values().forEach(w -> w.end(done, AttemptOutcome.SUCCEEDED, "r"));
    cell.reportAll();
    cell.workers.values().forEach(w -> w.end(failed, AttemptOutcome.FAILED, "x"));
    cell.advance(1_000);
    assertThat(cell.running(g))
        .hasSize(5)
        .allMatch(a -> a.attempt() == 2 && a.task() != done.task());
    cell.finish(g, AttemptOutcome.SUCCEEDED);
    assertThat(cell.status(g).phase()).isEqualTo(JobPhase.SUCCEEDED);
  }

  /** Failure: a new owner completes a gang of which only a part is left. */
  @Test
  void aNewOwnerRestartsAGangWithAFailedTask() {
    TestCell cell = new TestCell(3, 4, 100);
    JobSpec g = gang("g", 6);
    cell.submit(g);
    cell.dropStops = true;
    AttemptId one = cell.running(g).get(0);
    cell.workers.values().forEach(w -> w.end(one, AttemptOutcome.FAILED, "x"));
    cell.reportAll();
    cell.dropStops = false;
    cell.replaceOwner(2, List.copyOf(cell.journal));
    cell.advance(3_000);
    // The attempts of epoch 2 are numbered from 101.
    assertThat(cell.running(g)).hasSize(6).allMatch(a -> a.attempt() == 101);
  }

  /** Failure: a gang that can never run blocks the gangs behind it. */
  @Test
  void aGangThatCanNeverRunIsRefusedWithTheReason() {
    TestCell cell = new TestCell(3, 4, 10);
    cell.submit(gang("room", 100));
    assertThat(cell.status(gang("room", 100)).reason()).contains("limit of 10");
    TestCell small = new TestCell(3, 4, 100);
    small.submit(gang("g", 13));
    assertThat(small.status(gang("g", 13)).phase()).isEqualTo(JobPhase.NOT_RUN);
    assertThat(small.status(gang("g", 13)).reason()).contains("room for 12");
  }

  /** Failure: the team's own small tasks use up the limit that its gang waits for. */
  @Test
  void permitsAreReservedForAGangThatWaitsForItsTeamsLimit() {
    TestCell cell = new TestCell(3, 4, 6);
    for (int i = 0; i < 12; i++) {
      cell.submit(TestSpecs.deferrable("d" + i));
    }
    cell.submit(gang("g", 5));
    for (int i = 0; i < 6; i++) {
      cell.finish(TestSpecs.deferrable("d" + i), AttemptOutcome.SUCCEEDED);
    }
    cell.advance(200);
    assertThat(cell.running(gang("g", 5))).hasSize(5);
  }

  /** Failure: a gang is sent to workers that were drained while it held the reservation. */
  @Test
  void noTaskOfAGangIsSentToADrainedWorkerOfItsReservation() {
    TestCell cell = new TestCell(3, 4, 100);
    for (int i = 0; i < 12; i++) {
      cell.submit(TestSpecs.job("b", "f" + i, WorkloadClass.DEFERRABLE, 1, false));
    }
    JobSpec gang = TestSpecs.job("a", "g", WorkloadClass.GANG, 4, true);
    cell.submit(gang);
    cell.advance(100);
    cell.setManifest(TestSpecs.manifest(100, java.util.Set.of("d0")));
    cell.effects.clear();
    for (int i = 0; i < 12; i++) {
      cell.finish(
          TestSpecs.job("b", "f" + i, WorkloadClass.DEFERRABLE, 1, false),
          AttemptOutcome.SUCCEEDED);
    }
    assertThat(cell.running(gang)).hasSize(4);
    assertThat(cell.effects)
        .noneMatch(
            e -> e instanceof Effect.StartTask x && x.worker().equals(cell.worker(0).info.id()));
  }
}
