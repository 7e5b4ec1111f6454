package dev.dandelionport.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RestartDecisionTest {

  private final RestartDecision decision = new RestartDecision(3_000, 10_000);
  private final StopOutcomes outcomes = new StopOutcomes(new StopOutcomes());

  // Guards against runs that are stopped for taking a usual time on a runner that is at fault.
  @Test
  void usualRunIsNeverStopped() {
    assertThat(decision.shouldStop(2_900, 1)).isFalse();
  }

  // Guards against long tasks that are stopped where they have always ended by themselves.
  @Test
  void conspicuousRunIsStoppedOnlyIfItsRunnerIsProbablyAtFault() {
    assertThat(decision.shouldStop(3_100, 0.1)).isFalse();
    assertThat(decision.shouldStop(3_100, 0.6)).isTrue();
  }

  // Guards against a run that hangs forever because its queue is known for long tasks.
  @Test
  void runFarBeyondLongestTimeIsStoppedInAnyCase() {
    assertThat(decision.shouldStop(12_000, 0)).isFalse();
    assertThat(decision.shouldStop(50_000, 0)).isTrue();
  }

  // Guards against outcomes of the past that outweigh those of the present load.
  @Test
  void probabilityOfFaultFollowsLatestOutcomes() {
    for (int i = 0; i < 50; i++) {
      outcomes.recordFault();
    }
    assertThat(outcomes.faultProbability(1)).isGreaterThan(0.9);
    for (int i = 0; i < 50; i++) {
      outcomes.recordLongTask();
    }
    assertThat(outcomes.faultProbability(1)).isLessThan(0.2);
  }

  // Guards against a task that is stopped on one runner after the other: two independent faults
  // are less likely than a long task.
  @Test
  void secondConspicuousRunOfTaskIsProbablyLong() {
    assertThat(outcomes.repeatedFaultProbability(0.02))
        .isLessThan(0.1 * outcomes.faultProbability(1));
  }
}
