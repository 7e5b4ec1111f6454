package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the handling of attempts when a new owner takes over a partition. */
class TakeoverTest {

  private static final JobSpec URGENT = TestSpecs.urgent("u");

  /** Returns a cell whose owner crashed before it recorded the running urgent job. */
  private static TestCell cellWithUnrecordedAttempt() {
    TestCell cell = new TestCell(2, 2, 10);
    cell.submit(URGENT);
    cell.replaceOwner(2, List.of());
    cell.reportAll();
    return cell;
  }

  /**
   * Guards against stopping a running attempt, or starting it a second time, when the caller
   * submits the job again after the owner crashed before it recorded the start.
   */
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

  /**
   * Guards against losing a result: the attempt ends after the old owner crashed and before its job
   * is submitted to the new one.
   */
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

  /**
   * Guards against two attempts of a task at the same time. This happens if a new owner starts
   * tasks before all workers have reported, because a worker may still run an older attempt.
   */
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

  /**
   * Guards against overcommitting a worker because an attempt that is missing from the journal does
   * not count as used capacity.
   */
  @Test
  void anUnrecordedAttemptUsesCapacityAndCountsForItsTeam() {
    TestCell cell = cellWithUnrecordedAttempt();
    assertThat(cell.scheduler.stats().used().slots()).isEqualTo(1);
    assertThat(cell.scheduler.stats().teams().get(new TeamId("a")).running()).isEqualTo(1);
  }

  /**
   * Guards against an attempt that runs forever because its job is never submitted again after a
   * takeover.
   */
  @Test
  void anAttemptIsStoppedWhenItsJobIsNotSubmittedWithinOneMinute() {
    TestCell cell = cellWithUnrecordedAttempt();
    cell.advance(59_000);
    assertThat(cell.running(URGENT)).hasSize(1);
    cell.advance(2_000);
    assertThat(cell.running(URGENT)).isEmpty();
    assertThat(cell.scheduler.stats().used().slots()).isZero();
  }

  /**
   * Guards against a cancelled task that keeps running because the stop request to its worker was
   * lost.
   */
  @Test
  void stopIsResentUntilTheWorkerNoLongerListsTheAttempt() {
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

  /**
   * Guards against a cancelled task that keeps running because the owner failed over before the
   * worker received the stop.
   */
  @Test
  void newOwnerStopsTheAttemptsOfCancelledJobs() {
    TestCell cell = new TestCell(2, 2, 10);
    cell.submit(URGENT);
    cell.dropStops = true;
    cell.handle(new Event.Cancel(URGENT.key()));
    cell.dropStops = false;
    cell.replaceOwner(2, List.copyOf(cell.journal));
    cell.advance(1_000);
    assertThat(cell.running(URGENT)).isEmpty();
  }

  /**
   * Guards against an attempt that stays open forever because its worker was removed from the
   * instance list during a takeover and therefore never reports it as ended.
   */
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

  /**
   * Guards against starting a non-repeatable task a second time. Its worker reported it as running
   * and then lost it without a result, so the task must not be treated as never started.
   */
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
