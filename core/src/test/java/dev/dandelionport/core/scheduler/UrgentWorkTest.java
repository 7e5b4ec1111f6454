package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.WorkloadClass;
import org.junit.jupiter.api.Test;

/** Guards the waiting time of urgent work. */
class UrgentWorkTest {

  private static JobSpec filler(int i, boolean repeatable) {
    return TestSpecs.job("b", "fill" + i, WorkloadClass.DEFERRABLE, 1, repeatable);
  }

  /** Failure: deferrable work takes the whole cell and urgent work waits for it. */
  @Test
  void deferrableWorkLeavesHeadroomForUrgentWork() {
    TestCell cell = new TestCell(10, 8, 100);
    for (int i = 0; i < 100; i++) {
      cell.submit(filler(i, true));
    }
    assertThat(cell.scheduler.stats().used().slots()).isEqualTo(76);
    cell.submit(TestSpecs.urgent("u"));
    assertThat(cell.running(TestSpecs.urgent("u"))).hasSize(1);
    assertThat(cell.count(Effect.CheckpointTask.class)).isZero();
  }

  /** Failure: urgent work waits although deferrable work could make room. */
  @Test
  void urgentWorkPreemptsDeferrableWorkThatLaterResumes() {
    TestCell cell = new TestCell(1, 1, 100);
    cell.submit(filler(0, true));
    cell.advance(2_000);
    cell.submit(TestSpecs.urgent("u"));
    cell.advance(100);
    assertThat(cell.running(TestSpecs.urgent("u"))).hasSize(1);
    assertThat(cell.count(Effect.CheckpointTask.class)).isEqualTo(1);
    cell.finish(TestSpecs.urgent("u"), AttemptOutcome.SUCCEEDED);
    assertThat(cell.running(filler(0, true))).hasSize(1);
    assertThat(cell.status(filler(0, true)).phase()).isEqualTo(JobPhase.RUNNING);
  }

  /** Failure: urgent work ends the task that misses its deadline by it, and spares another one. */
  @Test
  void theTaskWithTheMostSlackIsPreempted() {
    // Two tasks and the headroom, which the first urgent task takes.
    TestCell cell = new TestCell(1, 3, 100);
    JobSpec nearDeadline = TestSpecs.withDeadline(filler(1, true), cell.now + 5_000);
    cell.submit(filler(0, true));
    cell.submit(nearDeadline);
    cell.submit(TestSpecs.urgent("u0"));
    cell.submit(TestSpecs.urgent("u1"));
    cell.advance(200);
    assertThat(cell.running(TestSpecs.urgent("u1"))).hasSize(1);
    assertThat(cell.running(nearDeadline)).hasSize(1);
  }

  /** Failure: a task that may run only once is stopped to make room. */
  @Test
  void nonRepeatableWorkIsNeverPreempted() {
    TestCell cell = new TestCell(1, 1, 100);
    cell.submit(filler(0, false));
    cell.submit(TestSpecs.urgent("u"));
    cell.advance(10_000);
    assertThat(cell.running(filler(0, false))).hasSize(1);
    assertThat(cell.count(Effect.StopTask.class) + cell.count(Effect.CheckpointTask.class))
        .isZero();
  }

  /** Failure: several victims are ended for the room of one urgent task. */
  @Test
  void onlyAsMuchWorkIsPreemptedAsIsNeeded() {
    TestCell cell = new TestCell(4, 4, 100);
    for (int i = 0; i < 16; i++) {
      cell.submit(filler(i, true));
    }
    cell.submit(TestSpecs.urgent("u1"));
    cell.dropStops = true;
    cell.submit(TestSpecs.urgent("u2"));
    cell.submit(TestSpecs.urgent("u3"));
    cell.advance(500);
    assertThat(cell.scheduler.stats().preemptions()).isLessThanOrEqualTo(2);
  }

  /** Failure: a caller waits although the answer cannot come in time. */
  @Test
  void urgentWorkThatCannotMeetItsDeadlineIsRefusedAtOnce() {
    TestCell cell = new TestCell(2, 8, 100);
    for (int i = 0; i < 8; i++) {
      cell.submit(TestSpecs.urgent("u" + i));
    }
    cell.advance(1_000);
    for (int i = 0; i < 8; i++) {
      cell.finish(TestSpecs.urgent("u" + i), AttemptOutcome.SUCCEEDED);
    }
    JobSpec late = TestSpecs.withDeadline(TestSpecs.urgent("late"), cell.now + 500);
    cell.submit(late);
    assertThat(cell.status(late).phase()).isEqualTo(JobPhase.NOT_RUN);
    assertThat(cell.status(late).reason()).contains("too late to finish");
  }

  /** Failure: the queue for urgent work grows without bound. */
  @Test
  void theQueueForUrgentWorkIsBounded() {
    TestCell cell = new TestCell(1, 1, 100);
    for (int i = 0; i < AdmissionControl.MAX_WAITING_URGENT_TASKS + 1; i++) {
      cell.submit(TestSpecs.urgent("u" + i));
    }
    JobSpec extra = TestSpecs.urgent("extra");
    cell.submit(extra);
    assertThat(cell.status(extra).phase()).isEqualTo(JobPhase.NOT_RUN);
    assertThat(cell.status(extra).reason()).contains("full");
  }

  /** Failure: a start waits for the journal although the work may be repeated. */
  @Test
  void onlyUrgentRepeatableWorkStartsBeforeItIsCommitted() {
    TestCell cell = new TestCell(2, 8, 100);
    cell.submit(TestSpecs.urgent("u"));
    cell.submit(TestSpecs.job("a", "once", WorkloadClass.URGENT, 1, false));
    cell.submit(TestSpecs.deferrable("d"));
    assertThat(cell.effects)
        .filteredOn(Effect.StartTask.class::isInstance)
        .extracting(Effect::afterCommit)
        .containsExactly(false, true, true);
  }

  /** Failure: a team's own deferrable work keeps its urgent work waiting at the limit. */
  @Test
  void urgentWorkPreemptsDeferrableWorkOfItsTeamAtTheLimit() {
    TestCell cell = new TestCell(4, 8, 3);
    for (int i = 0; i < 5; i++) {
      cell.submit(TestSpecs.deferrable("d" + i));
    }
    cell.submit(TestSpecs.urgent("u"));
    cell.advance(300);
    assertThat(cell.running(TestSpecs.urgent("u"))).hasSize(1);
  }
}
