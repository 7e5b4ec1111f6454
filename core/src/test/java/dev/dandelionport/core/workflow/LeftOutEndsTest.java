package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.workflow.RunnerReport.End;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against running a task again that is done: its runner lists only some of its ends in a
 * report, and the runs whose ends were left out were taken for lost ones.
 */
class LeftOutEndsTest {

  private static final String RUNNER = "r1";

  @Test
  void confirmedRunIsNotLostWhileItsEndMayBeLeftOut() {
    WorkflowFixture f = new WorkflowFixture();
    List<WorkflowEffect.Start> starts = submit(f);
    f.answerStarts(starts, StartResult.PRESENT);
    reportFirstEnds(f, 1, end(1, starts.get(0)));
    assertThat(f.starts()).isEmpty();
    reportAllEnds(f, 1, end(2, starts.get(1)));
    assertCompleted(f);
  }

  @Test
  void runOfFormerOwnerIsNotLostWhileItsEndMayBeLeftOut() {
    WorkflowFixture former = new WorkflowFixture();
    final List<WorkflowEffect.Start> starts = submit(former);
    WorkflowFixture f = new WorkflowFixture(former.journal);
    reportFirstEnds(f, 1, end(1, starts.get(0)));
    assertThat(f.starts()).isEmpty();
    reportAllEnds(f, 1, end(2, starts.get(1)));
    assertCompleted(f);
  }

  // A start in transit while a runner restarts is carried out by the new incarnation.
  @Test
  void runOnRestartedRunnerIsNotLostWhileItsEndMayBeLeftOut() {
    WorkflowFixture former = new WorkflowFixture();
    final List<WorkflowEffect.Start> starts = submit(former);
    WorkflowFixture f = new WorkflowFixture(former.journal);
    reportFirstEnds(f, 2, end(1, starts.get(0)));
    assertThat(f.starts()).isEmpty();
    reportAllEnds(f, 2, end(2, starts.get(1)));
    assertCompleted(f);
  }

  // The other side: the decision is put off, not dropped.
  @Test
  void runInNeitherPartOfTheEndsIsLost() {
    for (long incarnation = 1; incarnation <= 2; incarnation++) {
      WorkflowFixture f = new WorkflowFixture();
      List<WorkflowEffect.Start> starts = submit(f);
      f.answerStarts(starts, StartResult.PRESENT);
      reportFirstEnds(f, incarnation, end(1, starts.get(0)));
      assertThat(f.scheduler.hasRuns(RUNNER)).isTrue();
      reportAllEnds(f, incarnation);
      assertThat(f.starts())
          .containsExactly(new WorkflowEffect.Start(starts.get(1).task(), 2, RUNNER));
    }
  }

  // Guards against tasks that wait for the rest of the ends without a line that says so, and
  // against a line for each report while the store is down.
  @Test
  void ownerLogsOnceThatEndsAreLeftOut() {
    WorkflowFixture f = new WorkflowFixture();
    List<WorkflowEffect.Start> starts = submit(f);
    f.answerStarts(starts, StartResult.PRESENT);
    reportFirstEnds(f, 1, end(1, starts.get(0)));
    reportFirstEnds(f, 1, end(1, starts.get(0)));
    assertThat(f.effects)
        .filteredOn(
            e ->
                e instanceof WorkflowEffect.LogEntry n
                    && n.topic() == WorkflowEffect.Topic.ENDS_LEFT_OUT)
        .extracting(e -> ((WorkflowEffect.LogEntry) e).fields())
        .containsExactly(List.of("runner", RUNNER, "listed", 1, "undecided", 1));
  }

  /** Submits a step of two tasks and returns their starts on the only runner that takes work. */
  private static List<WorkflowEffect.Start> submit(WorkflowFixture f) {
    f.draining.add("r2");
    f.updateRunners();
    f.submit("w", "batch", WorkflowFixture.step(2, 1_000));
    return f.starts();
  }

  private static End end(long number, WorkflowEffect.Start s) {
    return new End(number, s.task(), s.run(), RunEnd.DONE, "");
  }

  private static void reportFirstEnds(WorkflowFixture f, long incarnation, End... ends) {
    report(f, incarnation, false, ends);
  }

  private static void reportAllEnds(WorkflowFixture f, long incarnation, End... ends) {
    report(f, incarnation, true, ends);
  }

  private static void report(
      WorkflowFixture f, long incarnation, boolean endsComplete, End... ends) {
    f.now += 1_000;
    f.list(RUNNER, incarnation, WorkflowFixture.CAPACITY, "a");
    f.updateTime();
    f.scheduler.report(
        RUNNER,
        new RunnerReport(incarnation, f.now, List.of(), List.of(ends), endsComplete),
        f.now);
    f.place();
  }

  private static void assertCompleted(WorkflowFixture f) {
    assertThat(f.starts()).isEmpty();
    assertThat(f.journal)
        .anyMatch(
            r -> r instanceof WorkflowRecord.Closed c && c.state() == WorkflowState.COMPLETED);
  }
}
