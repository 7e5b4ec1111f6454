package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that a gang starts all its tasks or none, without starvation or deadlock. */
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

  /**
   * Guards against starting only a part of a gang. The started tasks would hold capacity that the
   * others need, and wait for them.
   */
  @Test
  void gangStartsAllItsTasksOrNone() {
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

  /**
   * Guards against starvation of a gang because small tasks that keep arriving use every slot that
   * becomes free.
   */
  @Test
  void backfillDoesNotDelayReservation() {
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

  /**
   * Guards against a deadlock in which two gangs each hold half of the capacity and wait for the
   * other half.
   */
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

  /**
   * Guards against a gang that waits forever for a reservation in a failure domain that was
   * drained.
   */
  @Test
  void gangStartsOutsideDrainedFailureDomain() {
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

  /** Guards against a gang that continues without one of its tasks after that task failed. */
  @Test
  void gangRestartsAllItsTasksWhenOneFails() {
    TestCell cell = new TestCell(3, 4, 100);
    JobSpec g = gang("g", 6);
    cell.submit(g);
    AttemptId failed = cell.running(g).get(0);
    cell.workers.values().forEach(w -> w.end(failed, AttemptOutcome.FAILED, "x"));
    cell.advance(1_000);
    assertThat(cell.running(g)).hasSize(6).allMatch(a -> a.attempt() == 2);
    cell.finish(g, AttemptOutcome.SUCCEEDED);
    assertThat(cell.status(g).phase()).isEqualTo(JobPhase.SUCCEEDED);
  }

  /**
   * Guards against running a finished task of a gang again when the gang restarts after another
   * task failed.
   */
  @Test
  void restartedGangKeepsTheResultsOfFinishedTasks() {
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

  /**
   * Guards against a new owner that starts only the missing task of a gang. The task failed shortly
   * before the takeover, while the stops of the other tasks were lost.
   */
  @Test
  void newOwnerRestartsGangWithFailedTask() {
    TestCell cell = new TestCell(3, 4, 100);
    JobSpec g = gang("g", 6);
    cell.submit(g);
    cell.dropStops = true;
    AttemptId failed = cell.running(g).get(0);
    cell.workers.values().forEach(w -> w.end(failed, AttemptOutcome.FAILED, "x"));
    cell.reportAll();
    cell.dropStops = false;
    cell.replaceOwner(2, List.copyOf(cell.journal));
    cell.advance(3_000);
    // The attempts of epoch 2 are numbered from 101.
    assertThat(cell.running(g)).hasSize(6).allMatch(a -> a.attempt() == 101);
  }

  /**
   * Guards against a gang that can never run, because of the limit of its team or the size of the
   * cell, and that blocks the gangs behind it.
   */
  @Test
  void gangThatCanNeverRunIsRefusedWithTheReason() {
    TestCell cell = new TestCell(3, 4, 10);
    cell.submit(gang("room", 100));
    assertThat(cell.status(gang("room", 100)).reason()).contains("limit of 10");
    TestCell small = new TestCell(3, 4, 100);
    small.submit(gang("g", 13));
    assertThat(small.status(gang("g", 13)).phase()).isEqualTo(JobPhase.NOT_RUN);
    assertThat(small.status(gang("g", 13)).reason()).contains("room for 12");
  }

  /**
   * Guards against starvation of a gang because small tasks of its own team use every start that
   * the team's limit allows.
   */
  @Test
  void startsAreReservedForTheGangThatWaitsForItsTeamsLimit() {
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

  /**
   * Guards against starting a gang on workers that were drained while it held a reservation on
   * them.
   */
  @Test
  void gangDoesNotStartOnDrainedWorkersOfItsReservation() {
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
