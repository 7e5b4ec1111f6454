package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunnerHealthTest {

  // A runner that was held for a stuck run and then failed its probe was never probed again.
  @Test
  void runnerThatFailsItsProbeIsProbedAgainLater() {
    RunnerHealth health = new RunnerHealth();
    health.hold(0);
    assertThat(health.accepts(500)).isFalse();
    assertThat(health.accepts(1_000)).isTrue();
    health.failed(1_100, health.started());
    assertThat(health.accepts(1_200)).isFalse();
    assertThat(health.accepts(10_000)).isTrue();
  }
}
