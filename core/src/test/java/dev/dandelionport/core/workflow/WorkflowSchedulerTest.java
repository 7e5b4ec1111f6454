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

  private final WorkflowFixture fixture = new WorkflowFixture();

  // Guards against a step that starts before a step it depends on is done.
  @Test
  void stepStartsOnlyWhenAllTasksItDependsOnAreDone() {
    fixture.submit("w", "batch", WorkflowFixture.step(2, 100), WorkflowFixture.step(1, 100, 0));
    List<Start> first = fixture.answerStarts(StartResult.PRESENT);
    assertThat(first).extracting(s -> s.task().step()).containsExactly(0, 0);
    fixture.end(first.get(0), RunEnd.DONE, "");
    fixture.place();
    assertThat(fixture.starts()).isEmpty();
    fixture.end(first.get(1), RunEnd.DONE, "");
    fixture.place();
    assertThat(fixture.starts()).extracting(s -> s.task().step()).containsExactly(1);
  }

  // Guards against a final state that callers see before its record is durable.
  @Test
  void completedStateIsReturnedOnlyWhenItsRecordIsDurable() {
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    fixture.end(fixture.answerStarts(StartResult.PRESENT).get(0), RunEnd.DONE, "");
    assertThat(fixture.scheduler.state("w")).isNotEqualTo(WorkflowState.COMPLETED);
    fixture.scheduler.markStateDurable("w", WorkflowState.COMPLETED);
    assertThat(fixture.scheduler.state("w")).contains(WorkflowState.COMPLETED);
  }

  // Guards against members of a gang that run under different run numbers and wait for each other.
  @Test
  void gangStartsAllTasksUnderOneRunNumberOrNone() {
    fixture.submit("big", "batch", WorkflowFixture.gang(5, 7_000));
    assertThat(fixture.starts()).isEmpty();
    fixture.submit("fits", "batch", WorkflowFixture.gang(3, 7_000));
    assertThat(fixture.starts()).hasSize(3).allMatch(s -> s.run() == 1);
  }

  // Guards against a backlog of steps that fit nowhere and use up the limit of steps examined per
  // pass, so that a step that fits is never examined.
  @Test
  void backlogThatFitsNowhereDoesNotBlockTasksThatFit() {
    for (int i = 0; i < 250; i++) {
      fixture.submit("big" + i, "batch", WorkflowFixture.step(1, 16_000));
    }
    assertThat(fixture.starts()).isEmpty();
    fixture.submit("small", "batch", WorkflowFixture.step(1, 100));
    assertThat(fixture.starts()).extracting(s -> s.task().workflow()).containsExactly("small");
  }

  // Guards against passes that examine the same first steps up to their limit each time: while
  // enough of these waited, the lowest class was never started although it fitted.
  @ParameterizedTest
  @MethodSource("backlogs")
  void backlogThatCannotStartDoesNotStarveOtherSteps(String queue, StepSpec step) {
    for (int i = 0; i < 1_000; i++) {
      fixture.submit("waits" + i, queue, step);
    }
    fixture.starts();
    fixture.now += 1;
    fixture.submit("last", "batch", WorkflowFixture.step(1, 100));
    for (int pass = 0; pass < 20; pass++) {
      fixture.now += 10;
      fixture.place();
    }
    assertThat(fixture.starts()).extracting(s -> s.task().workflow()).containsExactly("last");
  }

  static Stream<Arguments> backlogs() {
    return Stream.of(
        Arguments.of("urgent", WorkflowFixture.step(1, 17_000)),
        Arguments.of("batch", WorkflowFixture.gang(5, 7_000)));
  }

  // Guards against a gang failure that is not counted when the end of another member comes first,
  // so that the gang runs more often than its queue allows.
  @Test
  void gangFailureCountsWhenEndOfAnotherMemberComesFirst() {
    fixture.submit("w", "batch", WorkflowFixture.gang(2, 100));
    for (int run = 1; run <= 3; run++) {
      List<Start> members = fixture.answerStarts(StartResult.PRESENT);
      assertThat(members).hasSize(2);
      fixture.end(members.get(1), RunEnd.BROKEN, "");
      fixture.end(members.get(0), RunEnd.FAILED, "");
      fixture.now += 3_000;
      fixture.place();
    }
    assertThat(fixture.starts()).isEmpty();
    assertThat(fixture.journal)
        .anyMatch(r -> r instanceof WorkflowRecord.Closed c && c.state() == WorkflowState.FAILED);
  }

  // Guards against a task that is started more often than its queue allows.
  @Test
  void taskThatFailsTooOftenFailsItsWorkflow() {
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    for (int run = 1; run <= 3; run++) {
      List<Start> s = fixture.answerStarts(StartResult.PRESENT);
      assertThat(s).hasSize(1);
      fixture.end(s.get(0), RunEnd.FAILED, "");
      fixture.now += 3_000;
      fixture.place();
    }
    assertThat(fixture.starts()).isEmpty();
    fixture.scheduler.markStateDurable("w", WorkflowState.FAILED);
    assertThat(fixture.scheduler.state("w")).contains(WorkflowState.FAILED);
  }

  // Guards against losing saved work when a run is stopped or lost.
  @Test
  void nextRunContinuesFromLatestCheckpoint() {
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    Start first = fixture.answerStarts(StartResult.PRESENT).get(0);
    fixture.end(first, RunEnd.STOPPED, "saved-1");
    fixture.place();
    Start second = fixture.starts().get(0);
    fixture.updateTime();
    StartOrder order =
        fixture.scheduler.prepareStart(second.task(), second.run(), second.runner()).orElseThrow();
    assertThat(second.run()).isEqualTo(2);
    assertThat(order.checkpoint()).isEqualTo("saved-1");
  }

  // Guards against a runner that is assigned more than its capacity, in particular while a stop is
  // pending.
  @Test
  void runnerIsNeverAssignedMoreThanItsCapacity() {
    fixture.submit("w", "urgent", WorkflowFixture.step(40, 3_000));
    final List<Start> s = fixture.answerStarts(StartResult.PRESENT);
    assertThat(s).hasSize(10);
    fixture.scheduler.cancel("w");
    fixture.submit("next", "urgent", WorkflowFixture.step(1, 3_000));
    assertThat(fixture.starts()).isEmpty();
    fixture.end(s.get(0), RunEnd.STOPPED, "");
    fixture.place();
    assertThat(fixture.starts()).hasSize(1);
  }

  // Guards against an account whose runs exceed its ceiling.
  @Test
  void accountRunsAtMostItsCeiling() {
    fixture.scheduler.setPolicy(WorkflowFixture.policy(2, new ResourceVector(0, 0, 2_500, 0, 0)));
    fixture.submit("w", "batch", WorkflowFixture.step(9, 1_000));
    assertThat(fixture.starts()).hasSize(2);
  }

  // Guards against starts in a closed failure domain or on a draining runner.
  @Test
  void nothingStartsInClosedDomainsOrOnDrainingRunners() {
    fixture.scheduler.setClosedDomains(Set.of("fd-r1"));
    fixture.draining.add("r2");
    fixture.updateRunners();
    fixture.submit("w", "urgent", WorkflowFixture.step(3, 100));
    assertThat(fixture.starts()).isEmpty();
    fixture.scheduler.setClosedDomains(Set.of());
    fixture.place();
    assertThat(fixture.starts()).hasSize(3).allMatch(s -> s.runner().equals("r1"));
  }

  // Guards against a start that is sent although its runner began to drain while the record was
  // written.
  @Test
  void intendedStartIsDroppedWhenItsRunnerDrainsBeforeItIsSent() {
    fixture.submit("w", "urgent", WorkflowFixture.step(1, 100));
    final Start s = fixture.starts().get(0);
    fixture.draining.add(s.runner());
    fixture.updateRunners();
    fixture.updateTime();
    assertThat(fixture.scheduler.prepareStart(s.task(), s.run(), s.runner())).isEmpty();
    fixture.place();
    assertThat(fixture.starts()).hasSize(1).noneMatch(x -> x.runner().equals(s.runner()));
  }

  // Guards against two concurrent runs of a task: a start without an answer may be carried out much
  // later.
  @Test
  void unansweredStartIsStoppedBeforeTaskStartsElsewhere() {
    fixture.submit("w", "urgent", WorkflowFixture.step(1, 100));
    final Start s = fixture.answerStarts(StartResult.UNKNOWN).get(0);
    fixture.place();
    assertThat(fixture.starts()).isEmpty();
    assertThat(fixture.stops()).extracting(WorkflowEffect.Stop::run).containsExactly(1);
    fixture.scheduler.handleStopAck(s.task(), s.run(), s.runner());
    fixture.now += 5;
    fixture.report(s.runner(), 1, List.of(), List.of());
    fixture.place();
    assertThat(fixture.starts()).hasSize(1).allMatch(x -> x.run() == 2);
  }

  // Guards against a run that counts as lost although the new incarnation of its runner has it.
  @Test
  void startReceivedByNextIncarnationOfRunnerIsKept() {
    fixture.submit("w", "urgent", WorkflowFixture.step(1, 100));
    Start s = fixture.answerStarts(StartResult.PRESENT).get(0);
    fixture.now += 5;
    fixture.report(s.runner(), 2, List.of(WorkflowFixture.running(s, "")), List.of());
    fixture.place();
    assertThat(fixture.starts()).isEmpty();
    assertThat(fixture.stops()).isEmpty();
  }

  // Guards against a task that waits forever for a run that ended with the crash of its runner.
  @Test
  void runsOfPreviousIncarnationAreStartedAgain() {
    fixture.submit("w", "urgent", WorkflowFixture.step(1, 100));
    Start s = fixture.answerStarts(StartResult.PRESENT).get(0);
    fixture.now += 5;
    fixture.report(s.runner(), 2, List.of(), List.of());
    fixture.place();
    assertThat(fixture.starts()).hasSize(1).allMatch(x -> x.run() == 2);
  }

  // Guards against a count that omits workflows of which a start was intended or refused but none
  // confirmed.
  @Test
  void unstartedCountIncludesWorkflowsWhoseStartWasRefused() {
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    assertThat(fixture.scheduler.countUnstarted("batch")).isEqualTo(1);
    fixture.answerStarts(StartResult.UNHEALTHY);
    assertThat(fixture.scheduler.countUnstarted("batch")).isEqualTo(1);
    fixture.place();
    fixture.answerStarts(StartResult.PRESENT);
    assertThat(fixture.scheduler.countUnstarted("batch")).isZero();
  }

  // Guards against a cancelled workflow that starts further tasks or leaves runs active.
  @Test
  void cancelStopsAllRunsAndStartsNothingMore() {
    fixture.submit("w", "batch", WorkflowFixture.step(30, 1_000));
    final int running = fixture.answerStarts(StartResult.PRESENT).size();
    fixture.scheduler.cancel("w");
    fixture.place();
    assertThat(fixture.starts()).isEmpty();
    assertThat(fixture.stops()).hasSize(running);
  }

  // Guards against applying a configuration that is older than the one an owner has applied.
  @Test
  void olderConfigurationIsRefused() {
    assertThat(fixture.scheduler.setPolicy(WorkflowFixture.policy(5, ResourceVector.ZERO)))
        .isTrue();
    assertThat(fixture.scheduler.setPolicy(WorkflowFixture.policy(4, ResourceVector.ZERO)))
        .isFalse();
  }

  // Guards against a probe that is stopped or lost and counts as active forever, so that its runner
  // never gets work again.
  @ParameterizedTest
  @EnumSource(
      value = RunEnd.class,
      names = {"STOPPED", "LAPSED", "LOST", "NEVER_STARTED", "BROKEN", "ALONE"})
  void quarantinedRunnerIsProbedAgainAfterAnyProbeOutcome(RunEnd outcome) {
    fixture.quarantineOnlyRunner();
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    assertThat(fixture.starts()).isEmpty();
    fixture.now += 10_000;
    fixture.place();
    List<Start> probe = fixture.answerStarts(StartResult.PRESENT);
    assertThat(probe).hasSize(1);
    fixture.end(probe.get(0), outcome, "");
    fixture.now += 60_000;
    fixture.place();
    assertThat(fixture.starts()).hasSize(1);
  }

  // Guards against a start that is sent in every pass to the only possible runner while that
  // refuses it; each rejected start has a cost.
  @Test
  void repeatedlyRefusedStartIsRetriedWithBackoff() {
    fixture.draining.add("r2");
    fixture.updateRunners();
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    int refused = 0;
    for (int i = 0; i < 400; i++) {
      refused += fixture.answerStarts(StartResult.NO_ROOM).size();
      fixture.now += 5;
      fixture.place();
    }
    assertThat(refused).isBetween(2, 12);
    fixture.now += 2_000;
    fixture.place();
    assertThat(fixture.answerStarts(StartResult.PRESENT)).hasSize(1);
  }

  // Guards against a step that places all of its tasks on a quarantined runner instead of one as a
  // probe.
  @Test
  void quarantinedRunnerGetsOneTaskOfStepAsProbe() {
    fixture.quarantineOnlyRunner();
    fixture.submit("w", "batch", WorkflowFixture.step(6, 100));
    assertThat(fixture.starts()).isEmpty();
    fixture.now += 10_000;
    fixture.place();
    List<Start> probe = fixture.answerStarts(StartResult.PRESENT);
    assertThat(probe).hasSize(1);
    fixture.end(probe.get(0), RunEnd.DONE, "");
    fixture.place();
    assertThat(fixture.starts()).hasSize(5);
  }

  // Guards against an occurrence that starts before it is due.
  @Test
  void occurrencesStartWhenTheyAreDue() {
    fixture.updateTime();
    fixture.scheduler.submit(
        new WorkflowSpec(
            "w",
            "batch",
            "a",
            "p",
            List.of(WorkflowFixture.step(1, 100)),
            new Recurrence(1_000_000 + fixture.now + 500, 1_000, 2),
            false));
    fixture.place();
    assertThat(fixture.starts()).isEmpty();
    fixture.now += 499;
    fixture.updateTime();
    fixture.scheduler.tick();
    fixture.place();
    assertThat(fixture.starts()).isEmpty();
    fixture.now += 1;
    fixture.updateTime();
    fixture.scheduler.tick();
    fixture.place();
    assertThat(fixture.starts()).extracting(s -> s.task().occurrence()).containsExactly(0);
  }
}
