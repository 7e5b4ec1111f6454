package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.scheduler.TaskState.Stopping;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the shares and limits of teams. */
class SharesAndLimitsTest {

  private static void fill(TestCell cell, String team, int n) {
    for (int i = 0; i < n; i++) {
      cell.submit(TestSpecs.job(team, "f" + i, WorkloadClass.DEFERRABLE, 1, true));
    }
  }

  private static double fraction(TestCell cell, String team) {
    double all = cell.scheduler.stats().used().slots();
    return cell.runningOf(new TeamId(team)) / all;
  }

  /** Guards against a cell that stays with the team that submitted first while other teams wait. */
  @Test
  void waitingTeamsGetTheirSharesOfTheFullCell() {
    TestCell cell = new TestCell(12, 8, 1_000);
    fill(cell, "a", 200);
    fill(cell, "b", 200);
    fill(cell, "c", 200);
    cell.advance(60_000);
    assertThat(fraction(cell, "a")).isBetween(1 / 6.0 - 0.05, 1 / 6.0 + 0.05);
    assertThat(fraction(cell, "b")).isBetween(2 / 6.0 - 0.05, 2 / 6.0 + 0.05);
    assertThat(fraction(cell, "c")).isBetween(3 / 6.0 - 0.05, 3 / 6.0 + 0.05);
  }

  /**
   * Guards against idle capacity because a team has used up its share although no other team needs
   * the rest.
   */
  @Test
  void teamMayUseCapacityThatNoOtherTeamNeeds() {
    TestCell cell = new TestCell(12, 8, 1_000);
    fill(cell, "a", 200);
    // 95% of the 96 cores; the rest is the headroom.
    assertThat(cell.runningOf(new TeamId("a"))).isEqualTo(91);
  }

  /**
   * Guards against preempting work for a team that waits for less than its share, although the
   * capacity gained would not be used.
   */
  @Test
  void teamThatWaitsForLessThanItsShareCausesNoPreemption() {
    TestCell cell = new TestCell(12, 8, 1_000);
    fill(cell, "a", 200);
    fill(cell, "c", 2);
    cell.advance(9_000);
    assertThat(cell.runningOf(new TeamId("a"))).isEqualTo(91);
    cell.finish(TestSpecs.deferrable("f0"), AttemptOutcome.SUCCEEDED);
    cell.finish(TestSpecs.deferrable("f1"), AttemptOutcome.SUCCEEDED);
    assertThat(cell.runningOf(new TeamId("c"))).isEqualTo(2);
  }

  private static JobSpec nearDeadline(TestCell cell, String key) {
    JobSpec s = TestSpecs.job("a", key, WorkloadClass.DEFERRABLE, 1, true);
    return TestSpecs.withDeadline(s, cell.now + 10_000);
  }

  private static TestCell cellSharedByTwoTeams() {
    TestCell cell = new TestCell(12, 8, 1_000);
    fill(cell, "b", 91);
    fill(cell, "a", 200);
    fill(cell, "c", 200);
    for (int i = 0; i < 91; i++) {
      cell.finish(
          TestSpecs.job("b", "f" + i, WorkloadClass.DEFERRABLE, 1, true), AttemptOutcome.SUCCEEDED);
    }
    cell.advance(1_000);
    return cell;
  }

  /** Guards against missing a deadline while work of another team that has more slack starts. */
  @Test
  void workNearItsDeadlineStartsBeforeWorkWithMoreSlack() {
    TestCell cell = cellSharedByTwoTeams();
    JobSpec late = nearDeadline(cell, "late");
    cell.submit(late);
    // Without the deadline, the capacity freed by team c would go to team c again.
    cell.finish(
        TestSpecs.job("c", "f0", WorkloadClass.DEFERRABLE, 1, true), AttemptOutcome.SUCCEEDED);
    assertThat(cell.running(late)).hasSize(1);
  }

  /**
   * Guards against a team that takes the shares of others by submitting all its work with early
   * deadlines.
   */
  @Test
  void workNearItsDeadlineKeepsItsTeamNearItsShare() {
    TestCell cell = cellSharedByTwoTeams();
    for (int i = 0; i < 60; i++) {
      cell.submit(nearDeadline(cell, "late" + i));
    }
    for (int i = 0; i < 40; i++) {
      cell.finish(
          TestSpecs.job("c", "f" + i, WorkloadClass.DEFERRABLE, 1, true), AttemptOutcome.SUCCEEDED);
      cell.advance(100);
      assertThat(fraction(cell, "a")).isLessThanOrEqualTo(1 / 4.0 + 0.05);
    }
  }

  /**
   * Guards against applying a lowered limit to new work only, and against stopping services while
   * deferrable work runs.
   */
  @Test
  void loweredLimitStopsDeferrableWorkBeforeServices() {
    TestCell cell = new TestCell(6, 8, 20);
    fill(cell, "a", 10);
    JobSpec service = TestSpecs.job("a", "s", WorkloadClass.SERVICE, 4, true);
    cell.submit(service);
    cell.checkTeamLimit = false;
    cell.setPermits(4);
    cell.advance(1_000);
    assertThat(cell.runningOf(new TeamId("a"))).isEqualTo(4);
    assertThat(cell.running(service)).hasSize(4);
  }

  /**
   * Guards against stopping work that must run only once when a limit is lowered, and against
   * keeping it without throttling and explanation.
   */
  @Test
  void nonRepeatableWorkOverLoweredLimitIsThrottledAndExplained() {
    TestCell cell = new TestCell(6, 8, 20);
    JobSpec once = TestSpecs.job("a", "once", WorkloadClass.DEFERRABLE, 3, false);
    cell.submit(once);
    cell.checkTeamLimit = false;
    cell.setPermits(2);
    cell.advance(5_000);
    assertThat(cell.running(once)).hasSize(3);
    assertThat(cell.count(Effect.ThrottleTask.class)).isEqualTo(1);
    assertThat(cell.scheduler.explain(once.key()).orElseThrow().running())
        .anyMatch(r -> r.reason().contains("over the team's limit"));
  }

  /** Guards against exceeding a lowered limit of the manifest until new permits arrive. */
  @Test
  void theManifestLimitAppliesWhilePermitsAreOutOfDate() {
    TestCell cell = new TestCell(6, 8, 20);
    cell.setManifest(TestSpecs.manifest(2, Set.of()));
    fill(cell, "a", 5);
    assertThat(cell.runningOf(new TeamId("a"))).isEqualTo(2);
  }

  /**
   * Guards against work that waits for permits although another partition has spare ones, because
   * the scheduler does not request them.
   */
  @Test
  void permitsAreRequestedWhileWorkWaitsForThem() {
    TestCell cell = new TestCell(6, 8, 20);
    cell.setPermits(2);
    fill(cell, "a", 5);
    cell.advance(200);
    assertThat(cell.effects).contains(new Effect.RequestPermits(new TeamId("a"), 5));
  }

  /**
   * Guards against an explanation of a stopping task that does not state why the task was stopped.
   */
  @Test
  void explanationNamesTheReasonWhyTheTaskIsStopped() {
    TestCell cell = new TestCell(1, 1, 20);
    fill(cell, "b", 1);
    cell.dropStops = true;
    cell.submit(TestSpecs.urgent("u"));
    JobSpec f = TestSpecs.job("b", "f0", WorkloadClass.DEFERRABLE, 1, true);
    String cause = Stopping.MAKE_ROOM.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    assertThat(cell.scheduler.explain(f.key()).orElseThrow().running())
        .anyMatch(r -> r.reason().endsWith(cause));
  }
}
