package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards attempts across a change of owner. */
class TakeoverTest {

  private static final JobSpec URGENT = TestSpecs.urgent("u");

  /** A cell whose owner died before it recorded the running urgent job. */
  private static TestCell cellWithUnrecordedAttempt() {
    TestCell cell = new TestCell(2, 2, 10);
    cell.submit(URGENT);
    cell.replaceOwner(2, List.of());
    cell.reportAll();
    return cell;
  }

  /** Failure: work that the caller will ask for again is stopped or started twice. */
  @Test
  void anUnrecordedAttemptIsAdoptedWhenItsJobIsSubmittedAgain() {
    TestCell cell = cellWithUnrecordedAttempt();
    assertThat(cell.running(URGENT)).hasSize(1);
    cell.submit(URGENT);
    assertThat(cell.running(URGENT)).hasSize(1);
    assertThat(cell.status(URGENT).phase()).isEqualTo(JobPhase.RUNNING);
    cell.finish(URGENT, AttemptOutcome.SUCCEEDED);
    assertThat(cell.status(URGENT).phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.runsByTask.get("a/u#0")).isEqualTo(1);
  }

  /** Failure: the result of an attempt that ended between two owners is dropped. */
  @Test
  void anUnrecordedResultIsAdopted() {
    TestCell cell = new TestCell(2, 2, 10);
    cell.submit(URGENT);
    cell.replaceOwner(2, List.of());
    cell.finish(URGENT, AttemptOutcome.SUCCEEDED);
    cell.submit(URGENT);
    assertThat(cell.status(URGENT).phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.status(URGENT).results()).containsExactly("r");
    assertThat(cell.runsByTask.get("a/u#0")).isEqualTo(1);
  }

  /** Failure: a task starts before the owner may start tasks, and runs beside an older attempt. */
  @Test
  void nothingStartsWhilePlacementIsNotAllowed() {
    TestCell cell = new TestCell(2, 2, 10);
    cell.replaceOwner(2, List.of());
    cell.worker(1).reachable = false;
    cell.submit(URGENT);
    cell.reportAll();
    cell.advance(1_400);
    assertThat(cell.running(URGENT)).isEmpty();
    assertThat(cell.scheduler.explain(URGENT.key()).orElseThrow().reason())
        .contains("may not start tasks");
    cell.advance(100);
    assertThat(cell.running(URGENT)).hasSize(1);
    cell.handle(new Event.PlacementAllowed(false));
    JobSpec later = TestSpecs.urgent("later");
    cell.submit(later);
    cell.advance(5_000);
    assertThat(cell.running(later)).isEmpty();
    cell.handle(new Event.PlacementAllowed(true));
    assertThat(cell.running(later)).hasSize(1);
  }

  /** Failure: an attempt of an unknown job is not counted, and its worker is overcommitted. */
  @Test
  void anUnrecordedAttemptUsesCapacityAndCountsForItsTeam() {
    TestCell cell = cellWithUnrecordedAttempt();
    assertThat(cell.scheduler.stats().used().slots()).isEqualTo(1);
    assertThat(cell.scheduler.stats().teams().get(new TeamId("a")).running()).isEqualTo(1);
  }

  /** Failure: an attempt that nobody asks for runs for ever. */
  @Test
  void anAttemptIsStoppedWhenItsJobIsNotSubmittedWithinOneMinute() {
    TestCell cell = cellWithUnrecordedAttempt();
    cell.advance(59_000);
    assertThat(cell.running(URGENT)).hasSize(1);
    cell.advance(2_000);
    assertThat(cell.running(URGENT)).isEmpty();
    assertThat(cell.scheduler.stats().used().slots()).isZero();
  }

  /** Failure: a stop that got lost leaves a cancelled task running. */
  @Test
  void aStopIsResentUntilTheWorkerNoLongerListsTheAttempt() {
    TestCell cell = new TestCell(2, 2, 10);
    cell.submit(URGENT);
    cell.dropStops = true;
    cell.handle(new Event.Cancel(URGENT.key()));
    cell.advance(2_000);
    assertThat(cell.scheduler.stats().used().slots()).isEqualTo(1);
    cell.dropStops = false;
    cell.advance(1_000);
    assertThat(cell.running(URGENT)).isEmpty();
    assertThat(cell.scheduler.stats().used().slots()).isZero();
  }

  /** Failure: a new owner forgets to stop what the former one had cancelled. */
  @Test
  void aNewOwnerStopsTheAttemptsOfACancelledJob() {
    TestCell cell = new TestCell(2, 2, 10);
    cell.submit(URGENT);
    cell.dropStops = true;
    cell.handle(new Event.Cancel(URGENT.key()));
    cell.dropStops = false;
    cell.replaceOwner(2, List.copyOf(cell.journal));
    cell.advance(1_000);
    assertThat(cell.running(URGENT)).isEmpty();
  }

  /** Failure: an attempt on a worker that left the list during a takeover stays open for ever. */
  @Test
  void anAttemptOnAnUnlistedWorkerIsLostOnceItsLeaseHasExpired() {
    TestCell cell = new TestCell(2, 2, 10);
    JobSpec once = TestSpecs.job("a", "once", WorkloadClass.DEFERRABLE, 1, false);
    cell.submit(once);
    cell.workers.remove(cell.workerOf(once));
    cell.replaceOwner(2, List.copyOf(cell.journal));
    cell.advance(10_000);
    assertThat(cell.status(once).phase()).isEqualTo(JobPhase.RUNNING);
    cell.advance(10_000);
    assertThat(cell.status(once).phase()).isEqualTo(JobPhase.UNKNOWN);
  }

  /** Failure: a task that ran and vanished is taken for one that never started. */
  @Test
  void anAttemptIsLostWhenItsWorkerNoLongerReportsIt() {
    TestCell cell = new TestCell(1, 1, 10);
    JobSpec once = TestSpecs.job("a", "once", WorkloadClass.DEFERRABLE, 1, false);
    cell.submit(once);
    cell.reportAll();
    cell.worker(0).running.clear();
    cell.now += 10_000;
    cell.reportAll();
    assertThat(cell.status(once).phase()).isEqualTo(JobPhase.UNKNOWN);
  }
}
