package dev.dandelionport.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunnerEvidenceTest {

  // Guards against a runner that hangs a third of its tasks and counts as good for the others.
  @Test
  void runnerThatHangsSomeTasksStandsOutAmongItsSuccesses() {
    FaultEvidence hanging = new FaultEvidence();
    FaultEvidence healthy = new FaultEvidence();
    for (int i = 0; i < 4; i++) {
      hanging.recordRun();
      hanging.recordRun();
      hanging.recordFault(1);
      healthy.recordRun();
    }
    assertThat(hanging.factor(0.02)).isGreaterThan(5);
    assertThat(healthy.factor(0.02)).isLessThan(1);
  }

  // Guards against a good runner that counts as slow because of one long task.
  @Test
  void speedIgnoresSingleLongTask() {
    SpeedRatio speed = new SpeedRatio();
    speed.add(7);
    assertThat(speed.median()).isEqualTo(1);
    speed.add(4);
    speed.add(4);
    assertThat(speed.median()).isEqualTo(4);
  }

  // Guards against a runner that gets no work for long after its last restart, or that counts as
  // flapping after a few restarts far apart.
  @Test
  void runnerFlapsAfterThreeStartsWithinThirtySecondsUntilItHasStayedUp() {
    FlapDetector starts = new FlapDetector();
    starts.recordStart(0);
    starts.recordStart(10_000);
    assertThat(starts.isFlapping(10_100)).isFalse();
    starts.recordStart(20_000);
    assertThat(starts.isFlapping(20_100)).isTrue();
    assertThat(starts.isFlapping(25_000)).isFalse();
    starts.recordStart(60_000);
    assertThat(starts.isFlapping(60_100)).isFalse();
  }
}
