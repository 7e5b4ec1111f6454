package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.scheduler.AttemptOutcome;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import dev.dandelionport.core.testing.FakeWorkers.Run;
import java.util.List;
import org.junit.jupiter.api.Test;

class UncommittedStartTest {

  private static final String JOURNAL = "/dandelionport/partitions/";

  /** Guards against urgent tasks that are delayed by a slow or unreachable store. */
  @Test
  void urgentRepeatableTaskStartsBeforeItsRecordsAreDurable() {
    Cell cell = new Cell(1, 3, 1, 4).start();
    cell.time.runFor(500);
    cell.store.loseRequests((op, key) -> op.equals("swap") && key.startsWith(JOURNAL));
    Instance entry = cell.anyOtherThan(cell.owner("u"));
    final long submitted = cell.time.nowMillis();
    cell.submitUrgent(entry, "u", "run=100");
    cell.submitNotRepeatable(entry, "c", "run=100");
    cell.time.runFor(1_500);
    assertThat(cell.workers.runsOf("u")).hasSize(1);
    assertThat(cell.workers.runsOf("u").get(0).startedMillis - submitted).isLessThan(20);
    // The intent to start a task that must not run twice has to be durable before the start.
    assertThat(cell.workers.runsOf("c")).isEmpty();
    cell.store.loseRequests((op, key) -> false);
    cell.awaitAnswers(20_000);
    assertThat(cell.violations()).isEmpty();
    assertThat(cell.workers.runsOf("u")).hasSize(1);
  }

  /** Starts job "u" without a durable record on a worker that only {@code owner} can reach. */
  private static Run startWithoutRecord(Cell cell, Instance owner, JobSpec spec) {
    cell.store.setDisconnected(owner.process, true);
    cell.submit(cell.anyOtherThan(owner), spec);
    cell.time.runFor(100);
    List<Run> first = cell.workers.runsOf("u");
    assertThat(first).hasSize(1);
    Run run = first.get(0);
    cell.instances.values().stream()
        .filter(i -> i != owner)
        .forEach(i -> cell.workers.setDisconnected(run.worker, i.process, true));
    return run;
  }

  /**
   * Guards against a new owner that starts a job while an attempt without a durable record still
   * runs. The former owner started it, and its worker does not answer the new owner.
   */
  @Test
  void newOwnerWaitsForUncommittedAttemptsOnUnresponsiveWorkers() {
    for (int seed = 1; seed <= 10; seed++) {
      Cell cell = new Cell(seed, 3, 1, 3).start();
      cell.time.runFor(cell.time.random().nextInt(700));
      Instance owner = cell.owner("u");
      JobSpec spec = cell.spec("u", WorkloadClass.URGENT, true, "run=9000");
      startWithoutRecord(cell, owner, spec);
      cell.time.runFor(1_400);
      // The caller times out and retries with the same request key until another owner serves.
      for (int i = 0; i < 8; i++) {
        cell.submit(cell.anyOtherThan(owner), spec);
        cell.time.runFor(150);
      }
      cell.time.runUntil(() -> cell.workers.runsOf("u").size() > 1, 8_000);
      assertThat(cell.workers.runsOf("u")).as("seed %d", seed).hasSize(2);
      assertThat(cell.violations()).as("seed %d", seed).isEmpty();
    }
  }

  /**
   * Guards against the end of a former owner's unrecorded attempt that is mistaken for the end of
   * the current attempt, because both have the same number.
   */
  @Test
  void lateReportOfFormerAttemptDoesNotEndCurrentOne() {
    for (int seed = 1; seed <= 10; seed++) {
      Cell cell = new Cell(seed, 3, 1, 3).start();
      cell.time.runFor(cell.time.random().nextInt(700));
      Instance owner = cell.owner("u");
      JobSpec spec = cell.spec("u", WorkloadClass.URGENT, true, "run=9000");
      final Run first = startWithoutRecord(cell, owner, spec);
      owner.kill();
      cell.time.runUntil(() -> cell.workers.runsOf("u").size() > 1, 20_000);
      assertThat(cell.workers.runsOf("u")).as("seed %d", seed).hasSize(2);
      assertThat(first.outcome).isEqualTo(AttemptOutcome.LOST);
      cell.time.runFor(500);
      // The worker reports the end of the former owner's attempt.
      cell.instances
          .values()
          .forEach(i -> cell.workers.setDisconnected(first.worker, i.process, false));
      cell.awaitAnswers(30_000);
      assertThat(cell.violations()).as("seed %d", seed).isEmpty();
      assertThat(cell.workers.runsOf("u")).as("seed %d", seed).hasSize(2);
      assertThat(cell.requests.get("u").phase()).isEqualTo(JobPhase.SUCCEEDED);
    }
  }

  /**
   * Guards against a committed task that ends after its owner fails because it still has the short
   * lease.
   */
  @Test
  void committedTaskSurvivesOwnerFailure() {
    Cell cell = new Cell(3, 3, 1, 4).start();
    Instance owner = cell.owner("u");
    cell.submitUrgent(cell.anyOtherThan(owner), "u", "run=10000");
    cell.time.runFor(1_000);
    owner.kill();
    cell.awaitAnswers(30_000);
    assertThat(cell.violations()).isEmpty();
    assertThat(cell.requests.get("u").phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.workers.runsOf("u")).hasSize(1);
  }
}
