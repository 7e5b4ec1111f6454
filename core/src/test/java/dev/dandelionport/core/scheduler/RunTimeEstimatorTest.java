package dev.dandelionport.core.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.WorkloadClass;
import org.junit.jupiter.api.Test;

/** Tests the estimation of run times. */
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

  /**
   * Guards against decisions about a job based on too few measured runs or, once enough runs were
   * measured, on its declared run time.
   */
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

  /** Guards against outdated estimates after the run time of tasks has changed. */
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

  /**
   * Guards against unbounded memory use by a caller that submits every job with a new queue name.
   */
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
