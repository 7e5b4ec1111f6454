package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.WorkflowEffect.Start;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a start on an incarnation of a runner by what is known of another one. A runner
 * may start again under its id as another kind, and its entry and its first report may come in any
 * order.
 */
class IncarnationTest {

  private static final ResourceVector SMALL = new ResourceVector(0, 0, 8_000, 16_000, 0);

  /** A task that only fits on a runner of the usual size. */
  private static final StepSpec LARGE_TASK = WorkflowFixture.step(1, 12_000);

  private final WorkflowFixture fixture = new WorkflowFixture();

  /** Leaves only the runner r1, without work. */
  IncarnationTest() {
    fixture.draining.add("r2");
    fixture.updateRunners();
  }

  private static StepSpec requiring(String label) {
    return StepSpecs.requiring(WorkflowFixture.step(1, 100), label);
  }

  private void report(long incarnation) {
    fixture.now += 5;
    fixture.report("r1", incarnation, List.of(), List.of());
  }

  // The entry was still that of the former incarnation when the new one answered.
  @Test
  void restartedRunnerGetsNoTaskByLabelOfFormerIncarnation() {
    report(2);
    fixture.submit("w", "batch", requiring("a"));
    assertThat(fixture.starts()).isEmpty();
    fixture.list("r1", 2, WorkflowFixture.CAPACITY, "b");
    fixture.place();
    assertThat(fixture.starts()).isEmpty();
    fixture.submit("x", "batch", requiring("b"));
    assertThat(fixture.answerStarts(StartResult.PRESENT)).hasSize(1);
  }

  // The entry of the new incarnation arrived after the decision and before the start was sent, when
  // it agreed with the answer again.
  @Test
  void startDecidedByEntryOfFormerIncarnationIsNotSentOnceTheNewEntryIsKnown() {
    fixture.submitWithoutPass("w", "batch", requiring("a"));
    report(2);
    fixture.place();
    fixture.list("r1", 2, WorkflowFixture.CAPACITY, "b");
    for (Start s : fixture.starts()) {
      assertThat(fixture.scheduler.prepareStart(s.task(), s.run(), s.runner())).isEmpty();
    }
  }

  // A task was sent to a runner whose entry had changed its kind after the decision.
  @Test
  void startIsNotSentToRunnerThatHasLostTheRequiredLabel() {
    fixture.submit("w", "batch", requiring("a"));
    fixture.list("r1", 1, WorkflowFixture.CAPACITY, "b");
    assertThat(fixture.starts())
        .hasSize(1)
        .allMatch(s -> fixture.scheduler.prepareStart(s.task(), s.run(), s.runner()).isEmpty());
  }

  // The entry was that of the new incarnation while the former one had answered last.
  @Test
  void listedIncarnationGetsNoTaskBeforeItReports() {
    fixture.list("r1", 2, WorkflowFixture.CAPACITY, "b");
    fixture.submit("w", "batch", requiring("b"));
    assertThat(fixture.starts()).isEmpty();
    report(2);
    fixture.place();
    assertThat(fixture.answerStarts(StartResult.PRESENT)).hasSize(1);
  }

  // As above; the decision was made before the entry was read.
  @Test
  void startIsNotSentOnceTheDirectoryListsAnotherIncarnation() {
    fixture.submit("w", "batch", requiring("a"));
    fixture.list("r1", 2, WorkflowFixture.CAPACITY, "a");
    assertThat(fixture.starts())
        .hasSize(1)
        .allMatch(s -> fixture.scheduler.prepareStart(s.task(), s.run(), s.runner()).isEmpty());
  }

  // Tasks of the former incarnation started again on one with half of the capacity.
  @Test
  void restartedRunnerGetsNoMoreThanItsOwnCapacity() {
    report(2);
    fixture.submit("w", "batch", LARGE_TASK);
    assertThat(fixture.starts()).isEmpty();
    fixture.list("r1", 2, SMALL, "a");
    fixture.now += 2_000;
    fixture.place();
    assertThat(fixture.starts()).isEmpty();
  }

  // A runner that had drained and restarted got no work by the entry of its former incarnation.
  @Test
  void drainOfFormerIncarnationDoesNotApplyToTheNextOne() {
    fixture.draining.add("r1");
    fixture.updateRunners();
    fixture.draining.remove("r1");
    fixture.list("r1", 2, WorkflowFixture.CAPACITY, "a");
    report(2);
    fixture.submit("w", "batch", requiring("a"));
    assertThat(fixture.answerStarts(StartResult.PRESENT)).hasSize(1);
  }

  // The wall clock of the runner was set back between its incarnations.
  @Test
  void incarnationWithAnEarlierStartTimeReplacesTheFormerOne() {
    fixture.list("r1", 5, WorkflowFixture.CAPACITY, "a");
    report(5);
    report(3);
    fixture.submit("w", "batch", requiring("a"));
    assertThat(fixture.starts()).isEmpty();
    fixture.list("r1", 3, WorkflowFixture.CAPACITY, "a");
    fixture.place();
    assertThat(fixture.answerStarts(StartResult.PRESENT)).hasSize(1);
  }

  // A new owner had read the entry of the former incarnation when the new one answered.
  @Test
  void newOwnerStartsNothingByEntryOfFormerIncarnation() {
    fixture.submit("w", "batch", requiring("a"));
    WorkflowFixture next = new WorkflowFixture(fixture.journal);
    next.report("r1", 2, List.of(), List.of());
    next.report("r2", 2, List.of(), List.of());
    next.place();
    assertThat(next.starts()).isEmpty();
  }

  // An idle runner is not called, so one that had restarted was noticed only with its next task.
  @Test
  void runnerWhoseEntryShowsRestartIsAskedForOneReport() {
    assertThat(fixture.scheduler.needsReport("r1")).isFalse();
    fixture.list("r1", 2, WorkflowFixture.CAPACITY, "a");
    assertThat(fixture.scheduler.needsReport("r1")).isTrue();
    report(2);
    assertThat(fixture.scheduler.needsReport("r1")).isFalse();
  }

  // Guards against endless calls to a runner while the directory lists its former incarnation.
  @Test
  void runnerIsNotAskedAgainWhileItsEntryIsThatOfFormerIncarnation() {
    report(2);
    assertThat(fixture.scheduler.needsReport("r1")).isFalse();
    fixture.updateRunners();
    assertThat(fixture.scheduler.needsReport("r1")).isFalse();
  }

  // Starts that the former incarnation had refused were answered after the report of the next one,
  // which was then held back as failing.
  @Test
  void refusalsOfFormerIncarnationDoNotHoldBackTheNextOne() {
    fixture.submit("w", "batch", WorkflowFixture.step(8, 100));
    List<Start> starts = fixture.starts();
    starts.forEach(s -> fixture.scheduler.prepareStart(s.task(), s.run(), s.runner()));
    fixture.list("r1", 2, WorkflowFixture.CAPACITY, "a");
    report(2);
    starts.forEach(s -> handleResult(s, StartResult.UNHEALTHY));
    fixture.submit("x", "urgent", WorkflowFixture.step(4, 100));
    assertThat(fixture.starts()).filteredOn(s -> s.task().workflow().equals("x")).hasSize(4);
  }

  private void handleResult(Start s, StartResult result) {
    fixture.scheduler.handleStartResult(s.task(), s.run(), s.runner(), result);
  }
}
