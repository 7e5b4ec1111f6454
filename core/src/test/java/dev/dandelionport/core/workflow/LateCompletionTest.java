package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against doing work twice that had been completed in time: the runner was silent until its
 * leases had expired, so its run was given up, but then reports that the run was done.
 */
class LateCompletionTest {

  @Test
  void taskWhoseRunWasGivenUpIsDoneWhenItsRunnerReportsSo() {
    WorkflowFixture f = new WorkflowFixture();
    f.submit("w", "batch", WorkflowFixture.step(1, 1_000));
    WorkflowEffect.Start first = f.answerStarts(StartResult.PRESENT).get(0);
    f.scheduler.markUnresponsive(first.runner());
    f.scheduler.expireLeases(first.runner());
    f.place();
    WorkflowEffect.Start second = f.starts().get(0);
    assertThat(second.run()).isEqualTo(2);
    f.end(first, RunEnd.DONE, "");
    f.collectDecision();
    assertThat(f.journal)
        .anyMatch(
            r -> r instanceof WorkflowRecord.Closed c && c.state() == WorkflowState.COMPLETED);
    assertThat(f.scheduler.prepareStart(second.task(), second.run(), second.runner())).isEmpty();
    assertThat(f.scheduler.hasRuns(second.runner())).isFalse();
  }

  @Test
  void runThatReplacedItIsStoppedWhenItHasAlreadyStarted() {
    WorkflowFixture f = new WorkflowFixture();
    f.submit("w", "batch", WorkflowFixture.step(1, 1_000));
    WorkflowEffect.Start first = f.answerStarts(StartResult.PRESENT).get(0);
    f.scheduler.markUnresponsive(first.runner());
    f.scheduler.expireLeases(first.runner());
    f.place();
    final WorkflowEffect.Start second = f.answerStarts(StartResult.PRESENT).get(0);
    f.end(first, RunEnd.DONE, "");
    f.collectDecision();
    assertThat(f.journal)
        .anyMatch(
            r -> r instanceof WorkflowRecord.Closed c && c.state() == WorkflowState.COMPLETED);
    assertThat(f.stops()).contains(new WorkflowEffect.Stop(second.task(), 2, second.runner()));
  }

  @Test
  void nextOwnerRebuildsTheLateCompletion() {
    WorkflowFixture f = new WorkflowFixture();
    f.submit("w", "batch", WorkflowFixture.step(2, 1_000));
    List<WorkflowEffect.Start> starts = f.answerStarts(StartResult.PRESENT);
    WorkflowEffect.Start first = starts.get(0);
    f.scheduler.markUnresponsive(first.runner());
    f.scheduler.expireLeases(first.runner());
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
}
