package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.health.FlapDetector;
import org.junit.jupiter.api.Test;

class RunnerHealthTest {

  // Guards against a runner that is quarantined for a stuck run, fails its probe and is never
  // probed again.
  @Test
  void runnerIsProbedAgainAfterFailedProbe() {
    RunnerHealth health = new RunnerHealth(new FlapDetector());
    health.quarantine(0);
    assertThat(health.acceptsRuns(500)).isFalse();
    assertThat(health.acceptsRuns(1_000)).isTrue();
    health.recordFailure(1_100, health.recordStart());
    assertThat(health.acceptsRuns(1_200)).isFalse();
    assertThat(health.acceptsRuns(10_000)).isTrue();
  }
}
