package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.WorkloadClass;
import org.junit.jupiter.api.Test;

/** Tests that urgent work starts quickly. */
class UrgentWorkTest {

  private static JobSpec filler(int i, boolean repeatable) {
    return TestSpecs.job("b", "fill" + i, WorkloadClass.DEFERRABLE, 1, repeatable);
  }

  /** Guards against urgent work that has to wait because deferrable work uses the whole cell. */
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

  /**
   * Guards against urgent work that waits although deferrable work could be preempted, and against
   * losing the preempted task.
   */
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

  /**
   * Guards against preempting a task near its deadline, which then misses it, while a task with
   * more slack keeps running.
   */
  @Test
  void theTaskWithTheMostSlackIsPreempted() {
    // The cell fits two deferrable tasks and the headroom, which the first urgent task uses.
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

  /** Guards against stopping a task that must run only once to free capacity for urgent work. */
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

  /**
   * Guards against preempting several tasks for one urgent task because the stop of the first one
   * is slow or lost.
   */
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

  /** Guards against a caller that waits for a result that cannot arrive before the deadline. */
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

  /**
   * Guards against unbounded growth of the queue for urgent work when callers submit faster than
   * tasks end.
   */
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

  /**
   * Guards against delaying the start of urgent repeatable work until its journal record is
   * durable, and against starting other work earlier.
   */
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

  /**
   * Guards against urgent work that waits because deferrable work of the same team uses up the
   * team's limit.
   */
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
