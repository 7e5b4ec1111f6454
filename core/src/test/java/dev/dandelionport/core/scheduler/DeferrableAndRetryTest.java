package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards deferrable work, retries, refusals and workers that fail what they start. */
class DeferrableAndRetryTest {

  /** Failure: work with time to spare runs before work that is about to be late. */
  @Test
  void theTaskWithTheLeastSlackStartsFirst() {
    TestCell cell = new TestCell(1, 1, 10);
    cell.submit(TestSpecs.deferrable("running"));
    JobSpec late = TestSpecs.withDeadline(TestSpecs.deferrable("late"), cell.now + 50_000);
    JobSpec soon = TestSpecs.withDeadline(TestSpecs.deferrable("soon"), cell.now + 20_000);
    cell.submit(late);
    cell.submit(soon);
    cell.finish(TestSpecs.deferrable("running"), AttemptOutcome.SUCCEEDED);
    assertThat(cell.running(soon)).hasSize(1);
  }

  /** Failure: a declared run time that is far off decides over a job. */
  @Test
  void measuredRunTimesReplaceDeclaredOnes() {
    TestCell cell = new TestCell(2, 8, 100);
    for (int i = 0; i < 8; i++) {
      cell.submit(TestSpecs.deferrable("d" + i));
    }
    cell.advance(40_000);
    for (int i = 0; i < 8; i++) {
      cell.finish(TestSpecs.deferrable("d" + i), AttemptOutcome.SUCCEEDED);
    }
    JobSpec declaredShort = TestSpecs.withDeadline(TestSpecs.deferrable("x"), cell.now + 30_000);
    cell.submit(declaredShort);
    assertThat(cell.status(declaredShort).phase()).isEqualTo(JobPhase.NOT_RUN);
    assertThat(cell.status(declaredShort).reason()).contains("at least 40000 ms");
  }

  /** Failure: a job that waits past its last useful start is reported only at its deadline. */
  @Test
  void aJobEndsAsSoonAsItCanNoLongerFinishInTime() {
    TestCell cell = new TestCell(2, 8, 100);
    for (int i = 0; i < 8; i++) {
      cell.submit(TestSpecs.deferrable("d" + i));
    }
    cell.advance(10_000);
    for (int i = 0; i < 8; i++) {
      cell.finish(TestSpecs.deferrable("d" + i), AttemptOutcome.SUCCEEDED);
    }
    for (int i = 0; i < 15; i++) {
      cell.submit(TestSpecs.job("b", "f" + i, WorkloadClass.DEFERRABLE, 1, false));
    }
    JobSpec waits = TestSpecs.withDeadline(TestSpecs.deferrable("waits"), cell.now + 15_000);
    cell.submit(waits);
    cell.advance(5_200);
    assertThat(cell.status(waits).phase()).isEqualTo(JobPhase.NOT_RUN);
    assertThat(cell.status(waits).reason()).contains("too late to finish");
  }

  /** Runs eight tasks for 10 s one after the other, so that their run time is known. */
  private static void runEightTasksOfTenSeconds(TestCell cell, boolean preempted) {
    for (int i = 0; i < 8; i++) {
      JobSpec d = TestSpecs.deferrable("d" + i);
      cell.submit(d);
      cell.advance(5_000);
      if (preempted) {
        cell.submit(TestSpecs.urgent("u" + i));
        cell.advance(100);
        cell.finish(TestSpecs.urgent("u" + i), AttemptOutcome.SUCCEEDED);
      }
      cell.advance(5_000);
      cell.finish(d, AttemptOutcome.SUCCEEDED);
    }
  }

  /** Failure: a preempted task is given up for run time that its checkpoint has saved. */
  @Test
  void aPreemptedTaskIsNotTooLateWhileItsRemainingRunTimeFitsBeforeTheDeadline() {
    TestCell cell = new TestCell(1, 1, 100);
    runEightTasksOfTenSeconds(cell, false);
    JobSpec d = TestSpecs.withDeadline(TestSpecs.deferrable("x"), cell.now + 25_000);
    cell.submit(d);
    cell.advance(8_000);
    cell.submit(TestSpecs.urgent("u"));
    cell.advance(10_000);
    assertThat(cell.running(TestSpecs.urgent("u"))).hasSize(1);
    cell.replaceOwner(2, List.copyOf(cell.scheduler.snapshot()));
    cell.reportAll();
    cell.finish(TestSpecs.urgent("u"), AttemptOutcome.SUCCEEDED);
    assertThat(cell.running(d)).hasSize(1);
  }

  /** Failure: the time after a checkpoint is learned as the whole run time. */
  @Test
  void measuredRunTimesIncludeTheTimeSavedByCheckpoints() {
    TestCell cell = new TestCell(1, 1, 100);
    runEightTasksOfTenSeconds(cell, true);
    JobSpec d = TestSpecs.withDeadline(TestSpecs.deferrable("x"), cell.now + 9_000);
    cell.submit(d);
    assertThat(cell.status(d).reason()).contains("at least 10");
  }

  /** Failure: one broken worker ends a job for good, or keeps attracting work. */
  @Test
  void aWorkerThatFailsEverythingIsHeldBackAndDoesNotEndJobs() {
    TestCell cell = new TestCell(3, 4, 100);
    for (int i = 0; i < 12; i++) {
      cell.submit(TestSpecs.deferrable("d" + i));
    }
    for (int round = 0; round < 10; round++) {
      for (var a : List.copyOf(cell.worker(0).running.keySet())) {
        cell.worker(0).end(a, AttemptOutcome.FAILED, "broken");
      }
      cell.advance(500);
    }
    assertThat(cell.scheduler.stats().workersHeldBack()).isEqualTo(1);
    assertThat(cell.worker(0).running.size()).isLessThanOrEqualTo(1);
    assertThat(cell.effects)
        .anyMatch(e -> e instanceof Effect.RaiseAlert r && r.code() == AlertCode.WORKER_FAILS);
    for (int i = 0; i < 12; i++) {
      assertThat(cell.status(TestSpecs.deferrable("d" + i)).phase().isFinal()).isFalse();
    }
  }

  /** Failure: a repaired worker is never used again. */
  @Test
  void aHeldBackWorkerRecoversAfterOneSuccessfulAttempt() {
    TestCell cell = new TestCell(1, 4, 100);
    for (int i = 0; i < 4; i++) {
      cell.submit(TestSpecs.deferrable("d" + i));
      cell.finish(TestSpecs.deferrable("d" + i), AttemptOutcome.FAILED);
    }
    assertThat(cell.scheduler.stats().workersHeldBack()).isEqualTo(1);
    for (int i = 0; i < 10; i++) {
      cell.advance(2_000);
      for (var a : List.copyOf(cell.worker(0).running.keySet())) {
        cell.worker(0).end(a, AttemptOutcome.SUCCEEDED, "ok");
      }
    }
    assertThat(cell.scheduler.stats().workersHeldBack()).isZero();
    assertThat(cell.effects)
        .anyMatch(e -> e instanceof Effect.RaiseAlert r && r.code() == AlertCode.WORKER_RECOVERED);
  }

  /** Failure: a job that fails everywhere is tried for ever. */
  @Test
  void aJobThatFailsOnSeveralWorkersIsNotRetriedForever() {
    TestCell cell = new TestCell(6, 4, 100);
    JobSpec bad = TestSpecs.deferrable("bad");
    cell.submit(bad);
    for (int i = 0; i < 6; i++) {
      cell.finish(bad, AttemptOutcome.FAILED);
      cell.advance(5_000);
    }
    assertThat(cell.status(bad).phase()).isEqualTo(JobPhase.FAILED);
    assertThat(cell.runsByTask.get("a/bad#0")).isEqualTo(RetryPolicy.MAX_FAILED_WORKERS);
    assertThat(cell.scheduler.stats().workersHeldBack()).isZero();
  }

  /** Failure: the retries of one team have no bound. */
  @Test
  void retriesAreLimitedByABudgetPerTeam() {
    RetryPolicy p = new RetryPolicy();
    long last = 0;
    for (int i = 0; i < 150; i++) {
      JobSpec s = TestSpecs.deferrable("d" + i);
      last =
          p.retryAtMillis(
              new dev.dandelionport.core.common.AttemptId(s.key(), 0, 1),
              1,
              TestSpecs.START_MILLIS);
    }
    assertThat(last).isEqualTo(TestSpecs.START_MILLIS + 5_000);
  }

  /** Failure: a task larger than any worker waits for ever and blocks smaller ones. */
  @Test
  void aTaskLargerThanAnyWorkerIsRefusedAndDoesNotBlockOtherTasks() {
    TestCell cell = new TestCell(3, 4, 100);
    JobSpec big = TestSpecs.withSize(TestSpecs.deferrable("big"), TestSpecs.slots(5));
    cell.submit(big);
    cell.submit(TestSpecs.deferrable("small"));
    assertThat(cell.status(big).phase()).isEqualTo(JobPhase.NOT_RUN);
    assertThat(cell.status(big).reason()).contains("larger than any worker");
    assertThat(cell.running(TestSpecs.deferrable("small"))).hasSize(1);
  }

  /** Failure: a job is refused because the instance list has not arrived yet. */
  @Test
  void aJobWaitsWhileNoWorkerIsKnown() {
    TestCell cell = new TestCell(0, 1, 100);
    JobSpec big = TestSpecs.withSize(TestSpecs.deferrable("big"), TestSpecs.slots(500));
    cell.submit(big);
    assertThat(cell.status(big).phase()).isEqualTo(JobPhase.QUEUED);
    cell.handle(new Event.FleetChanged(List.of(TestSpecs.worker(0, 4))));
    assertThat(cell.status(big).phase()).isEqualTo(JobPhase.NOT_RUN);
  }

  /** Failure: nobody can tell why a job waits. */
  @Test
  void theExplanationOfAWaitingJobListsABoundedNumberOfWorkers() {
    TestCell cell = new TestCell(20, 1, 100);
    for (int i = 0; i < 25; i++) {
      cell.submit(TestSpecs.job("b", "f" + i, WorkloadClass.URGENT, 1, false));
    }
    JobSpec d = TestSpecs.deferrable("d");
    cell.submit(d);
    Explanation e = cell.scheduler.explain(d.key()).orElseThrow();
    assertThat(e.reason()).contains("no worker has room");
    assertThat(e.rejected()).hasSize(8).allMatch(r -> r.reason().equals("has too little room"));
  }
}
