package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests deferrable work, retries, refusals, and workers that fail what they start. */
class DeferrableAndRetryTest {

  /**
   * Guards against a missed deadline because a task with more slack, submitted earlier, starts
   * first.
   */
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

  /**
   * Guards against accepting a job that cannot finish in time because its declared run time is far
   * too short.
   */
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
    JobSpec tooLate = TestSpecs.withDeadline(TestSpecs.deferrable("x"), cell.now + 30_000);
    cell.submit(tooLate);
    assertThat(cell.status(tooLate).phase()).isEqualTo(JobPhase.NOT_RUN);
    assertThat(cell.status(tooLate).reason()).contains("at least 40000 ms");
  }

  /**
   * Guards against a job that is reported as not run only at its deadline, although its latest
   * possible start passed earlier while it waited.
   */
  @Test
  void jobEndsAsSoonAsItCanNoLongerFinishInTime() {
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
    JobSpec waiting = TestSpecs.withDeadline(TestSpecs.deferrable("waits"), cell.now + 15_000);
    cell.submit(waiting);
    cell.advance(5_200);
    assertThat(cell.status(waiting).phase()).isEqualTo(JobPhase.NOT_RUN);
    assertThat(cell.status(waiting).reason()).contains("too late to finish");
  }

  /**
   * Runs eight tasks for 10 s each, one after the other, so that measured run times replace
   * declared ones.
   */
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

  /**
   * Guards against giving up a preempted task because its full run time no longer fits before the
   * deadline, although the remainder after its checkpoint does.
   */
  @Test
  void preemptedTaskIsNotTooLateWhileItsRemainingRunTimeFitsBeforeTheDeadline() {
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

  /**
   * Guards against estimates that are too short because only the time since the last checkpoint is
   * measured as the run time of a preempted task.
   */
  @Test
  void measuredRunTimesIncludeTheTimeSavedByCheckpoints() {
    TestCell cell = new TestCell(1, 1, 100);
    runEightTasksOfTenSeconds(cell, true);
    JobSpec d = TestSpecs.withDeadline(TestSpecs.deferrable("x"), cell.now + 9_000);
    cell.submit(d);
    assertThat(cell.status(d).reason()).contains("at least 10");
  }

  /**
   * Guards against a broken worker that fails every task quickly and so attracts more tasks, until
   * the jobs run out of retries.
   */
  @Test
  void workerThatFailsEverythingIsHeldBackAndDoesNotEndJobs() {
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

  /** Guards against never using a repaired worker again after it was held back for its failures. */
  @Test
  void heldBackWorkerRecoversAfterOneSuccessfulAttempt() {
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

  /**
   * Guards against retrying a job forever that fails on every worker, and against holding back the
   * workers for it.
   */
  @Test
  void jobThatFailsOnSeveralWorkersIsNotRetriedForever() {
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

  /** Guards against a flood of retries when many attempts of a team fail at the same time. */
  @Test
  void retriesAreLimitedByOneBudgetPerTeam() {
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

  /**
   * Guards against a task that is larger than any worker: it would wait forever and block smaller
   * tasks behind it.
   */
  @Test
  void taskLargerThanAnyWorkerIsRefusedAndDoesNotBlockOtherTasks() {
    TestCell cell = new TestCell(3, 4, 100);
    JobSpec big = TestSpecs.withSize(TestSpecs.deferrable("big"), TestSpecs.slots(5));
    cell.submit(big);
    cell.submit(TestSpecs.deferrable("small"));
    assertThat(cell.status(big).phase()).isEqualTo(JobPhase.NOT_RUN);
    assertThat(cell.status(big).reason()).contains("larger than any worker");
    assertThat(cell.running(TestSpecs.deferrable("small"))).hasSize(1);
  }

  /**
   * Guards against refusing a job as too large while the instance list has not arrived yet and no
   * worker is known.
   */
  @Test
  void jobWaitsWhileNoWorkerIsKnown() {
    TestCell cell = new TestCell(0, 1, 100);
    JobSpec big = TestSpecs.withSize(TestSpecs.deferrable("big"), TestSpecs.slots(500));
    cell.submit(big);
    assertThat(cell.status(big).phase()).isEqualTo(JobPhase.QUEUED);
    cell.handle(new Event.FleetChanged(List.of(TestSpecs.worker(0, 4))));
    assertThat(cell.status(big).phase()).isEqualTo(JobPhase.NOT_RUN);
  }

  /**
   * Guards against a waiting job without an explanation, and against an explanation that grows with
   * the number of workers.
   */
  @Test
  void explanationOfWaitingJobListsLimitedNumberOfWorkers() {
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
