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

  /** Size of a task that fits once on a runner. */
  private static final ResourceVector WHOLE_RUNNER = new ResourceVector(0, 0, 58_000, 17_392, 0);

  // Guards against a call that names all runners with expired tickets and further ones in addition:
  // the service rejected it as too long, and the same call was repeated endlessly.
  @Test
  void noCallNamesMoreRunnersThanTheServiceAccepts() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 2, SLOW_ADVICE, AdviceSimulation.allowFraction(0.55, 1));
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(95, WHOLE_RUNNER, 5_000));
    cell.run(1_500);
    // Urgent work occupies the cell until the first tickets have expired.
    cell.submit("urgent", AdviceSimulation.URGENT, StepSpecs.of(250, WHOLE_RUNNER, 3_000));
    cell.run(3_000);
    cell.end("urgent");
    cell.run(20_000);
    assertThat(cell.refusedCalls).isZero();
    assertThat(cell.running("gang")).hasSize(95);
  }

  // Guards against a gang that fits twice and waits forever: because earlier steps of its queue
  // were allowed on hardly any runner, advice was not even requested for it.
  @Test
  void adviceIsRequestedForGangWhenEarlierStepsWereAllowedNowhere() {
    AdviceSimulation.AdviceRule gangRule = AdviceSimulation.allowFraction(0.5, 1);
    AdviceSimulation cell =
        new AdviceSimulation(
            250,
            39,
            SLOW_ADVICE,
            (s, r) -> s.workflow().startsWith("gang") && gangRule.allows(s, r));
    for (int i = 0; i < 20; i++) {
      cell.submit("rare-" + i, AdviceSimulation.ADVISED, StepSpecs.of(1, WHOLE_RUNNER, 5_000));
    }
    cell.run(2_000);
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(40, WHOLE_RUNNER, 5_000));
    assertThat(cell.runUntilStarted("gang", 40, 3_000)).isTrue();
  }

  // Guards against advice calls for a gang that run one after the other, so that its first tickets
  // expire before the last of its runners has one.
  @Test
  void gangNeedingMostAllowedRunnersStartsBeforeItsFirstTicketsExpire() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 39, SLOW_ADVICE, AdviceSimulation.allowFraction(0.5, 1));
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(100, WHOLE_RUNNER, 5_000));
    assertThat(cell.runUntilStarted("gang", 100, SLOW_ADVICE.validMillis())).isTrue();
  }

  // Guards against a waiting gang whose calls occupy all instances.
  @Test
  void wideGangLeavesCallsForOtherSteps() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 39, SLOW_ADVICE, AdviceSimulation.allowFraction(0.5, 1));
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(100, WHOLE_RUNNER, 5_000));
    cell.submit("later", AdviceSimulation.ADVISED, StepSpecs.of(1, WHOLE_RUNNER, 5_000));
    assertThat(cell.runUntilStarted("later", 1, 500)).isTrue();
  }

  // Guards against further calls after the gang has all the tickets that it can use.
  @Test
  void runnersWithUsableTicketsAreNotRequestedAgain() {
    AdviceSimulation cell =
        new AdviceSimulation(100, 39, SLOW_ADVICE, AdviceSimulation.allowFraction(0.5, 1));
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(20, WHOLE_RUNNER, 5_000));
    cell.run(2_000);
    assertThat(cell.running("gang")).hasSize(20);
    assertThat(cell.requests.stream().mapToInt(a -> a.runners().size()).sum())
        .isEqualTo(cell.requestedRunners("gang").size());
  }

  // Guards against a runner that restarts during a call and counts as denied for its whole new
  // incarnation, because the answer was stored for the incarnation at the time of the answer.
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

  // Guards against prefetch requests that each tick adds and the next placement pass clears before
  // any instance takes them, so that each step has to wait for its advice.
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

  // Guards against a gang that waits for capacity and requests advice only when the capacity is
  // free, which other work takes in the meantime.
  @Test
  void adviceForWaitingGangIsCollectedWhileInstancesAreFree() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 9, SLOW_ADVICE, AdviceSimulation.allowFraction(0.5, 1));
    cell.submit("other", AdviceSimulation.PLAIN, StepSpecs.of(200, WHOLE_RUNNER, 20_000));
    cell.run(100);
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(100, WHOLE_RUNNER, 5_000));
    cell.run(6_000);
    assertThat(cell.requestedRunners("gang")).hasSize(250);
    cell.end("other");
    assertThat(cell.runUntilStarted("gang", 100, 700)).isTrue();
  }

  // Guards against discovery calls that never end or that keep useful calls from getting an
  // instance.
  @Test
  void discoveryRequestsEachRunnerOnceOnAtMostTwoInstances() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 6, SLOW_ADVICE, AdviceSimulation.allowFraction(0.5, 1));
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

  // Guards against calls that only renew tickets and count as if all runners were allowed: later
  // calls of the queue then named too few new runners, and a gang needed several calls one after
  // the other.
  @Test
  void renewedTicketsDoNotRaiseExpectedAllowedFraction() {
    AdviceSimulation.AdviceRule rule = AdviceSimulation.allowFraction(0.35, 1);
    Set<String> allowedForLong = Set.of("r000", "r001", "r002");
    AdviceSimulation cell =
        new AdviceSimulation(
            250,
            39,
            SLOW_ADVICE,
            (s, r) -> s.workflow().equals("long") ? allowedForLong.contains(r) : rule.allows(s, r));
    cell.submit("long", AdviceSimulation.ADVISED, StepSpecs.of(100, WHOLE_RUNNER, 3_000));
    for (int round = 0; round < 25; round++) {
      cell.run(3_500);
      cell.end("long");
    }
    cell.submit("gang", AdviceSimulation.ADVISED, StepSpecs.gang(40, WHOLE_RUNNER, 5_000));
    assertThat(cell.runUntilStarted("gang", 40, 800)).isTrue();
  }
}
