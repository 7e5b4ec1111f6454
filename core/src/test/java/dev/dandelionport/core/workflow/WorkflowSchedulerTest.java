package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.WorkflowEffect.Start;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class WorkflowSchedulerTest {

  private final WorkflowFixture cell = new WorkflowFixture();

  // Guards against a step that starts while a step it depends on is not done.
  @Test
  void stepStartsOnlyWhenAllTasksItDependsOnAreDone() {
    cell.submit("w", "batch", WorkflowFixture.step(2, 100), WorkflowFixture.step(1, 100, 0));
    List<Start> first = cell.started(StartResult.PRESENT);
    assertThat(first).extracting(s -> s.task().step()).containsExactly(0, 0);
    cell.end(first.get(0), RunEnd.DONE, "");
    cell.place();
    assertThat(cell.starts()).isEmpty();
    cell.end(first.get(1), RunEnd.DONE, "");
    cell.place();
    assertThat(cell.starts()).extracting(s -> s.task().step()).containsExactly(1);
  }

  // Guards against a state that callers see before its record is durable.
  @Test
  void completedIsShownOnlyOnceItsRecordIsDurable() {
    cell.submit("w", "batch", WorkflowFixture.step(1, 100));
    cell.end(cell.started(StartResult.PRESENT).get(0), RunEnd.DONE, "");
    assertThat(cell.scheduler.state("w")).isNotEqualTo(WorkflowState.COMPLETED);
    cell.scheduler.shown("w", WorkflowState.COMPLETED);
    assertThat(cell.scheduler.state("w")).contains(WorkflowState.COMPLETED);
  }

  // Guards against members of a gang that run under different numbers and wait for each other.
  @Test
  void gangStartsWholeUnderOneNumberOrNotAtAll() {
    cell.submit("big", "batch", WorkflowFixture.gang(5, 7_000));
    assertThat(cell.starts()).isEmpty();
    cell.submit("fits", "batch", WorkflowFixture.gang(3, 7_000));
    assertThat(cell.starts()).hasSize(3).allMatch(s -> s.run() == 1);
  }

  // A pass looks at a bounded number of steps; a backlog of steps that fit nowhere used it up, and
  // work that fitted was not even looked at.
  @Test
  void workThatFitsNowhereDoesNotHideWorkThatFits() {
    for (int i = 0; i < 250; i++) {
      cell.submit("big" + i, "batch", WorkflowFixture.step(1, 16_000));
    }
    assertThat(cell.starts()).isEmpty();
    cell.submit("small", "batch", WorkflowFixture.step(1, 100));
    assertThat(cell.starts()).extracting(s -> s.task().workflow()).containsExactly("small");
  }

  // A pass looks at a bounded number of steps, always the same ones first: while enough of them
  // waited, the last class got nothing although there was room for it.
  @ParameterizedTest
  @MethodSource("backlogs")
  void backlogThatCannotStartHidesNoOtherWork(String queue, StepSpec step) {
    for (int i = 0; i < 1_000; i++) {
      cell.submit("waits" + i, queue, step);
    }
    cell.starts();
    cell.now += 1;
    cell.submit("last", "batch", WorkflowFixture.step(1, 100));
    for (int pass = 0; pass < 20; pass++) {
      cell.now += 10;
      cell.place();
    }
    assertThat(cell.starts()).extracting(s -> s.task().workflow()).containsExactly("last");
  }

  static Stream<Arguments> backlogs() {
    return Stream.of(
        Arguments.of("urgent", WorkflowFixture.step(1, 17_000)),
        Arguments.of("batch", WorkflowFixture.gang(5, 7_000)));
  }

  // A gang's failure was lost when the end of another member was listed first, and it ran too
  // often.
  @Test
  void gangFailureCountsAlsoWhenAnotherMembersEndComesFirst() {
    cell.submit("w", "batch", WorkflowFixture.gang(2, 100));
    for (int run = 1; run <= 3; run++) {
      List<Start> members = cell.started(StartResult.PRESENT);
      assertThat(members).hasSize(2);
      cell.end(members.get(1), RunEnd.BROKEN, "");
      cell.end(members.get(0), RunEnd.FAILED, "");
      cell.now += 3_000;
      cell.place();
    }
    assertThat(cell.starts()).isEmpty();
    assertThat(cell.journal)
        .anyMatch(r -> r instanceof WorkflowRecord.Closed c && c.state() == WorkflowState.FAILED);
  }

  // Guards against a task that is tried more often than its queue allows.
  @Test
  void taskThatFailsTooOftenFailsItsWorkflow() {
    cell.submit("w", "batch", WorkflowFixture.step(1, 100));
    for (int run = 1; run <= 3; run++) {
      List<Start> s = cell.started(StartResult.PRESENT);
      assertThat(s).hasSize(1);
      cell.end(s.get(0), RunEnd.FAILED, "");
      cell.now += 3_000;
      cell.place();
    }
    assertThat(cell.starts()).isEmpty();
    cell.scheduler.shown("w", WorkflowState.FAILED);
    assertThat(cell.scheduler.state("w")).contains(WorkflowState.FAILED);
  }

  // Guards against saved work that is thrown away when a run is stopped or lost.
  @Test
  void nextRunContinuesFromTheNewestCheckpoint() {
    cell.submit("w", "batch", WorkflowFixture.step(1, 100));
    Start first = cell.started(StartResult.PRESENT).get(0);
    cell.end(first, RunEnd.STOPPED, "saved-1");
    cell.place();
    Start second = cell.starts().get(0);
    cell.tell();
    StartOrder order =
        cell.scheduler.mayStillStart(second.task(), second.run(), second.runner()).orElseThrow();
    assertThat(second.run()).isEqualTo(2);
    assertThat(order.checkpoint()).isEqualTo("saved-1");
  }

  // Guards against a runner that gets more than its capacity, also while a stop is under way.
  @Test
  void runnerIsNeverGivenMoreThanItsCapacity() {
    cell.submit("w", "urgent", WorkflowFixture.step(40, 3_000));
    final List<Start> s = cell.started(StartResult.PRESENT);
    assertThat(s).hasSize(10);
    cell.scheduler.cancel("w");
    cell.submit("next", "urgent", WorkflowFixture.step(1, 3_000));
    assertThat(cell.starts()).isEmpty();
    cell.end(s.get(0), RunEnd.STOPPED, "");
    cell.place();
    assertThat(cell.starts()).hasSize(1);
  }

  // Guards against an account that runs more than its ceiling.
  @Test
  void accountRunsAtMostItsCeiling() {
    cell.scheduler.setPolicy(WorkflowFixture.policy(2, new ResourceVector(0, 0, 2_500, 0, 0)));
    cell.submit("w", "batch", WorkflowFixture.step(9, 1_000));
    assertThat(cell.starts()).hasSize(2);
  }

  // Guards against work in a failure domain that is out of service or on a runner that leaves.
  @Test
  void nothingStartsInClosedDomainsOrOnLeavingRunners() {
    cell.scheduler.setClosedDomains(Set.of("fd-r1"));
    cell.draining.add("r2");
    cell.runners();
    cell.submit("w", "urgent", WorkflowFixture.step(3, 100));
    assertThat(cell.starts()).isEmpty();
    cell.scheduler.setClosedDomains(Set.of());
    cell.place();
    assertThat(cell.starts()).hasSize(3).allMatch(s -> s.runner().equals("r1"));
  }

  // A start whose record took long was sent although its runner had begun to leave meanwhile.
  @Test
  void intendedStartIsGivenUpWhenItsRunnerLeavesBeforeItIsSent() {
    cell.submit("w", "urgent", WorkflowFixture.step(1, 100));
    final Start s = cell.starts().get(0);
    cell.draining.add(s.runner());
    cell.runners();
    cell.tell();
    assertThat(cell.scheduler.mayStillStart(s.task(), s.run(), s.runner())).isEmpty();
    cell.place();
    assertThat(cell.starts()).hasSize(1).noneMatch(x -> x.runner().equals(s.runner()));
  }

  // Guards against two runs of a task: a start without an answer may be carried out much later.
  @Test
  void unansweredStartIsBarredBeforeTheTaskStartsElsewhere() {
    cell.submit("w", "urgent", WorkflowFixture.step(1, 100));
    final Start s = cell.started(StartResult.UNKNOWN).get(0);
    cell.place();
    assertThat(cell.starts()).isEmpty();
    assertThat(cell.stops()).extracting(WorkflowEffect.Stop::run).containsExactly(1);
    cell.scheduler.stopAnswered(s.task(), s.run(), s.runner());
    cell.now += 5;
    cell.report(s.runner(), 1, List.of(), List.of());
    cell.place();
    assertThat(cell.starts()).hasSize(1).allMatch(x -> x.run() == 2);
  }

  // Guards against a run that is taken for lost although the runner's new life has it.
  @Test
  void startThatReachedTheNextLifeOfItsRunnerIsKept() {
    cell.submit("w", "urgent", WorkflowFixture.step(1, 100));
    Start s = cell.started(StartResult.PRESENT).get(0);
    cell.now += 5;
    cell.report(s.runner(), 2, List.of(WorkflowFixture.running(s, "")), List.of());
    cell.place();
    assertThat(cell.starts()).isEmpty();
    assertThat(cell.stops()).isEmpty();
  }

  // Guards against tasks that wait for ever for a run that a crash has ended.
  @Test
  void runsOfAnEarlierLifeAreStartedAgain() {
    cell.submit("w", "urgent", WorkflowFixture.step(1, 100));
    Start s = cell.started(StartResult.PRESENT).get(0);
    cell.now += 5;
    cell.report(s.runner(), 2, List.of(), List.of());
    cell.place();
    assertThat(cell.starts()).hasSize(1).allMatch(x -> x.run() == 2);
  }

  // The count left out workflows whose first start had not been carried out.
  @Test
  void pendingCountsWorkflowsThatNoRunnerHasHad() {
    cell.submit("w", "batch", WorkflowFixture.step(1, 100));
    assertThat(cell.scheduler.pending("batch")).isEqualTo(1);
    cell.started(StartResult.UNHEALTHY);
    assertThat(cell.scheduler.pending("batch")).isEqualTo(1);
    cell.place();
    cell.started(StartResult.PRESENT);
    assertThat(cell.scheduler.pending("batch")).isZero();
  }

  // Guards against a cancelled workflow that starts something or leaves a run behind.
  @Test
  void cancelStopsWhatRunsAndStartsNothingMore() {
    cell.submit("w", "batch", WorkflowFixture.step(30, 1_000));
    final int running = cell.started(StartResult.PRESENT).size();
    cell.scheduler.cancel("w");
    cell.place();
    assertThat(cell.starts()).isEmpty();
    assertThat(cell.stops()).hasSize(running);
  }

  // Guards against a configuration that comes back older than what an owner acted on.
  @Test
  void olderConfigurationIsRefused() {
    assertThat(cell.scheduler.setPolicy(WorkflowFixture.policy(5, ResourceVector.ZERO))).isTrue();
    assertThat(cell.scheduler.setPolicy(WorkflowFixture.policy(4, ResourceVector.ZERO))).isFalse();
  }

  // A probe that was stopped or lost was counted for ever, and its runner got no work again.
  @ParameterizedTest
  @EnumSource(
      value = RunEnd.class,
      names = {"STOPPED", "LAPSED", "LOST", "NEVER_STARTED", "BROKEN", "ALONE"})
  void heldRunnerIsProbedAgainHoweverItsProbeEnded(RunEnd how) {
    cell.holdOnlyRunner();
    cell.submit("w", "batch", WorkflowFixture.step(1, 100));
    assertThat(cell.starts()).isEmpty();
    cell.now += 10_000;
    cell.place();
    List<Start> probe = cell.started(StartResult.PRESENT);
    assertThat(probe).hasSize(1);
    cell.end(probe.get(0), how, "");
    cell.now += 60_000;
    cell.place();
    assertThat(cell.starts()).hasSize(1);
  }

  // A task with one possible runner was sent there in every pass while the runner refused it; each
  // rejected start has a price.
  @Test
  void startThatIsRefusedAgainAndAgainIsTriedLessOften() {
    cell.draining.add("r2");
    cell.runners();
    cell.submit("w", "batch", WorkflowFixture.step(1, 100));
    int refused = 0;
    for (int i = 0; i < 400; i++) {
      refused += cell.started(StartResult.NO_ROOM).size();
      cell.now += 5;
      cell.place();
    }
    assertThat(refused).isBetween(2, 12);
    cell.now += 2_000;
    cell.place();
    assertThat(cell.started(StartResult.PRESENT)).hasSize(1);
  }

  // A step with several tasks put all of them on a runner that was held back for failing, instead
  // of one as a probe.
  @Test
  void heldRunnerGetsOneTaskOfStepAsProbe() {
    cell.holdOnlyRunner();
    cell.submit("w", "batch", WorkflowFixture.step(6, 100));
    assertThat(cell.starts()).isEmpty();
    cell.now += 10_000;
    cell.place();
    List<Start> probe = cell.started(StartResult.PRESENT);
    assertThat(probe).hasSize(1);
    cell.end(probe.get(0), RunEnd.DONE, "");
    cell.place();
    assertThat(cell.starts()).hasSize(5);
  }

  // Guards against a repetition that starts before its time.
  @Test
  void occurrencesStartWhenTheyAreDue() {
    cell.tell();
    cell.scheduler.submit(
        new WorkflowSpec(
            "w",
            "batch",
            "a",
            "p",
            List.of(WorkflowFixture.step(1, 100)),
            new Recurrence(1_000_000 + cell.now + 500, 1_000, 2),
            false));
    cell.place();
    assertThat(cell.starts()).isEmpty();
    cell.now += 499;
    cell.tell();
    cell.scheduler.tick();
    cell.place();
    assertThat(cell.starts()).isEmpty();
    cell.now += 1;
    cell.tell();
    cell.scheduler.tick();
    cell.place();
    assertThat(cell.starts()).extracting(s -> s.task().occurrence()).containsExactly(0);
  }
}
