package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

class AdviceTrackerTest {

  private static final Advice SLOW_ADVICE = new Advice(380, 5.5, 2_500);

  /** A task of which a runner takes one. */
  private static final ResourceVector WHOLE_RUNNER = new ResourceVector(0, 0, 58_000, 17_392, 0);

  // A call named all runners whose tickets had ended and further ones besides; the service refused
  // it for its length, and the same call was made again and again.
  @Test
  void noCallNamesMoreRunnersThanTheServiceAccepts() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 2, SLOW_ADVICE, AdviceSimulation.allowPart(0.55, 1));
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(95, WHOLE_RUNNER, 5_000));
    cell.run(1_500);
    // Urgent work takes the room until the first tickets have ended.
    cell.submit("urgent", AdviceSimulation.URGENT, StepSpecs.of(250, WHOLE_RUNNER, 3_000));
    cell.run(3_000);
    cell.end("urgent");
    cell.run(20_000);
    assertThat(cell.refusedCalls).isZero();
    assertThat(cell.running("gang")).hasSize(95);
  }

  // The share of allowed runners that earlier steps of the queue had shown decided that not even a
  // question was asked, and a gang that fitted twice over waited for ever.
  @Test
  void adviceIsRequestedForGangWhenEarlierStepsWereAllowedNowhere() {
    AdviceSimulation.AdviceRule half = AdviceSimulation.allowPart(0.5, 1);
    AdviceSimulation cell =
        new AdviceSimulation(
            250, 39, SLOW_ADVICE, (s, r) -> s.workflow().startsWith("gang") && half.allows(s, r));
    for (int i = 0; i < 20; i++) {
      cell.submit("rare-" + i, AdviceSimulation.ADVISED, StepSpecs.of(1, WHOLE_RUNNER, 5_000));
    }
    cell.run(2_000);
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(40, WHOLE_RUNNER, 5_000));
    assertThat(cell.runUntilStarted("gang", 40, 3_000)).isTrue();
  }

  // A gang was asked about in one call after the other, and its first tickets ended before the last
  // of its runners had one.
  @Test
  void gangNeedingMostAllowedRunnersStartsBeforeItsFirstTicketsExpire() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 39, SLOW_ADVICE, AdviceSimulation.allowPart(0.5, 1));
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(100, WHOLE_RUNNER, 5_000));
    assertThat(cell.runUntilStarted("gang", 100, SLOW_ADVICE.validMillis())).isTrue();
  }

  // Guards against a waiting gang whose calls take all instances from the others.
  @Test
  void wideGangLeavesCallsForOtherSteps() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 39, SLOW_ADVICE, AdviceSimulation.allowPart(0.5, 1));
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(100, WHOLE_RUNNER, 5_000));
    cell.submit("later", AdviceSimulation.ADVISED, StepSpecs.of(1, WHOLE_RUNNER, 5_000));
    assertThat(cell.runUntilStarted("later", 1, 500)).isTrue();
  }

  // Guards against calls that go on although the gang has all the tickets it can use.
  @Test
  void runnersWithUsableTicketsAreNotRequestedAgain() {
    AdviceSimulation cell =
        new AdviceSimulation(100, 39, SLOW_ADVICE, AdviceSimulation.allowPart(0.5, 1));
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(20, WHOLE_RUNNER, 5_000));
    cell.run(2_000);
    assertThat(cell.running("gang")).hasSize(20);
    assertThat(cell.requests.stream().mapToInt(a -> a.runners().size()).sum())
        .isEqualTo(cell.requestedRunners("gang").size());
  }

  // A runner that started anew while it was asked about was taken for denied for all of its new
  // life, because the answer was noted for the life at the time of the answer.
  @Test
  void answerDoesNotApplyToNextIncarnationOfRunner() {
    AtomicBoolean allowed = new AtomicBoolean();
    AdviceSimulation cell = new AdviceSimulation(1, 2, SLOW_ADVICE, (s, r) -> allowed.get());
    cell.submit("w", AdviceSimulation.ADVISED, StepSpecs.of(1, WHOLE_RUNNER, 5_000));
    cell.run(300);
    assertThat(cell.requests).hasSize(1);
    cell.restartRunner("r000");
    cell.run(200);
    allowed.set(true);
    assertThat(cell.runUntilStarted("w", 1, 2_000)).isTrue();
  }

  // Calls ahead were noted at each tick and forgotten by the pass that followed it, before any
  // instance took them, so that each step waited for its advice once more.
  @Test
  void adviceIsPrefetchedBeforePrecedingStepEnds() {
    AdviceSimulation cell = new AdviceSimulation(20, 9, SLOW_ADVICE, (s, r) -> true);
    cell.submit(
        "w",
        AdviceSimulation.ADVISED,
        StepSpecs.of(1, WHOLE_RUNNER, 2_000),
        StepSpecs.of(1, WHOLE_RUNNER, 2_000, 0));
    assertThat(cell.runUntilStarted("w", 1, 1_000)).isTrue();
    cell.run(1_000);
    assertThat(cell.requests).noneMatch(a -> a.step().step() == 1);
    cell.run(1_000);
    cell.end("w");
    assertThat(cell.runUntilStarted("w", 1, 100)).isTrue();
  }

  // A gang that had waited for room learned its runners only when the room was there, and the room
  // was lost meanwhile.
  @Test
  void adviceForWaitingGangIsCollectedWhileInstancesAreFree() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 9, SLOW_ADVICE, AdviceSimulation.allowPart(0.5, 1));
    cell.submit("other", AdviceSimulation.PLAIN, StepSpecs.of(200, WHOLE_RUNNER, 20_000));
    cell.run(100);
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(100, WHOLE_RUNNER, 5_000));
    cell.run(6_000);
    assertThat(cell.requestedRunners("gang")).hasSize(250);
    cell.end("other");
    assertThat(cell.runUntilStarted("gang", 100, 700)).isTrue();
  }

  // Guards against learning that goes on for ever or keeps a call that can help from an instance.
  @Test
  void discoveryRequestsEachRunnerOnceOnAtMostTwoInstances() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 6, SLOW_ADVICE, AdviceSimulation.allowPart(0.5, 1));
    cell.submit("other", AdviceSimulation.PLAIN, StepSpecs.of(240, WHOLE_RUNNER, 20_000));
    cell.run(100);
    for (int i = 0; i < 3; i++) {
      cell.submit("gang-" + i, AdviceSimulation.ADVISED, StepSpecs.gang(100, WHOLE_RUNNER, 5_000));
    }
    cell.run(100);
    assertThat(cell.requests).hasSizeLessThanOrEqualTo(2);
    cell.submit("task", AdviceSimulation.ADVISED, StepSpecs.of(1, WHOLE_RUNNER, 1_000));
    assertThat(cell.runUntilStarted("task", 1, 500)).isTrue();
    cell.run(20_000);
    assertThat(
            cell.requests.stream()
                .filter(a -> a.step().workflow().startsWith("gang"))
                .mapToInt(a -> a.runners().size())
                .sum())
        .isLessThanOrEqualTo(3 * 250);
  }

  // Calls that only renewed tickets counted as if all runners were allowed, so that later calls of
  // the queue named too few new ones, and a gang needed one call after the other.
  @Test
  void renewedTicketsDoNotRaiseExpectedAllowedFraction() {
    AdviceSimulation.AdviceRule part = AdviceSimulation.allowPart(0.35, 1);
    Set<String> few = Set.of("r000", "r001", "r002");
    AdviceSimulation cell =
        new AdviceSimulation(
            250,
            39,
            SLOW_ADVICE,
            (s, r) -> s.workflow().equals("long") ? few.contains(r) : part.allows(s, r));
    cell.submit("long", AdviceSimulation.ADVISED, StepSpecs.of(100, WHOLE_RUNNER, 3_000));
    for (int round = 0; round < 25; round++) {
      cell.run(3_500);
      cell.end("long");
    }
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(40, WHOLE_RUNNER, 5_000));
    assertThat(cell.runUntilStarted("gang", 40, 800)).isTrue();
  }
}
