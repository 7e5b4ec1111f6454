package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against doing work twice that had been completed in time: the runner was silent until its
 * leases had expired, so its run was given up, but then reports that the run was done.
 */
class LateCompletionTest {

  @Test
  void taskWhoseRunWasGivenUpIsDoneWhenItsRunnerReportsSo() {
    WorkflowFixture f = new WorkflowFixture();
    WorkflowEffect.Start first = startAndGiveUp(f, 1);
    f.place();
    WorkflowEffect.Start second = f.starts().get(0);
    assertThat(second.run()).isEqualTo(2);
    f.end(first, RunEnd.DONE, "");
    f.collectDecision();
    assertCompleted(f);
    assertThat(f.scheduler.prepareStart(second.task(), second.run(), second.runner())).isEmpty();
    assertThat(f.scheduler.hasRuns(second.runner())).isFalse();
  }

  @Test
  void runThatReplacedItIsStoppedWhenItHasAlreadyStarted() {
    WorkflowFixture f = new WorkflowFixture();
    WorkflowEffect.Start first = startAndGiveUp(f, 1);
    f.place();
    final WorkflowEffect.Start second = f.answerStarts(StartResult.PRESENT).get(0);
    f.end(first, RunEnd.DONE, "");
    f.collectDecision();
    assertCompleted(f);
    assertThat(f.stops()).contains(new WorkflowEffect.Stop(second.task(), 2, second.runner()));
  }

  @Test
  void nextOwnerRebuildsTheLateCompletion() {
    WorkflowFixture f = new WorkflowFixture();
    WorkflowEffect.Start first = startAndGiveUp(f, 2);
    f.end(first, RunEnd.DONE, "");
    f.collectDecision();
    WorkflowScheduler next =
        new WorkflowScheduler(new WorkflowLimits(3_000, 200, 3, 2_000, 120_000));
    f.journal.forEach(next::replay);
    next.finishReplay();
    assertThat(next.snapshot())
        .filteredOn(
            r -> r instanceof WorkflowRecord.TaskProgress p && p.task().equals(first.task()))
        .singleElement()
        .matches(r -> ((WorkflowRecord.TaskProgress) r).done());
  }

  /** Starts the tasks of a step and gives up the first run; returns its start. */
  private static WorkflowEffect.Start startAndGiveUp(WorkflowFixture f, int tasks) {
    f.submit("w", "batch", WorkflowFixture.step(tasks, 1_000));
    WorkflowEffect.Start first = f.answerStarts(StartResult.PRESENT).get(0);
    f.scheduler.markUnresponsive(first.runner());
    f.scheduler.expireLeases(first.runner(), true);
    return first;
  }

  private static void assertCompleted(WorkflowFixture f) {
    assertThat(f.journal)
        .anyMatch(
            r -> r instanceof WorkflowRecord.Closed c && c.state() == WorkflowState.COMPLETED);
  }
}
