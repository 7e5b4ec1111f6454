package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.WorkloadClass;
import org.junit.jupiter.api.Test;

/** Guards learned run times. */
class RunTimeEstimatorTest {

  private static JobSpec inQueue(String queue) {
    JobSpec s = TestSpecs.deferrable("d");
    return new JobSpec(
        s.key(),
        queue,
        WorkloadClass.DEFERRABLE,
        s.deadlineMillis(),
        s.taskSize(),
        1,
        5_000,
        true,
        "",
        "");
  }

  /** Failure: a few runs, or a declared time, decide over a job. */
  @Test
  void declaredTimesAreUsedOnlyUntilEnoughRunsWereMeasured() {
    RunTimeEstimator e = new RunTimeEstimator();
    for (int i = 0; i < 7; i++) {
      e.addSample(inQueue("q"), 100);
    }
    assertThat(e.p90Millis(inQueue("q"))).isEqualTo(5_000);
    assertThat(e.p10Millis(inQueue("q"))).isZero();
    e.addSample(inQueue("q"), 900);
    assertThat(e.p90Millis(inQueue("q"))).isEqualTo(900);
    assertThat(e.p10Millis(inQueue("q"))).isEqualTo(100);
  }

  /** Failure: run times of the past outlive a change. */
  @Test
  void onlyTheLatestRunsAreUsed() {
    RunTimeEstimator e = new RunTimeEstimator();
    for (int i = 0; i < 100; i++) {
      e.addSample(inQueue("q"), 10_000);
    }
    for (int i = 0; i < 64; i++) {
      e.addSample(inQueue("q"), 100);
    }
    assertThat(e.p90Millis(inQueue("q"))).isEqualTo(100);
  }

  /** Failure: a caller that invents queue names fills the memory. */
  @Test
  void theNumberOfKeysIsBounded() {
    RunTimeEstimator e = new RunTimeEstimator();
    for (int q = 0; q <= RunTimeEstimator.MAX_KEYS; q++) {
      for (int i = 0; i < 8; i++) {
        e.addSample(inQueue("q" + q), 100);
      }
    }
    assertThat(e.p10Millis(inQueue("q0"))).isZero();
    assertThat(e.p10Millis(inQueue("q1"))).isEqualTo(100);
  }
}
