package dev.dandelionport.bench;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Holds deterministic counts to the stated targets; wall-clock figures are never a verdict. */
class PolicyBoundsTest {

  /**
   * Failure: placements slow down faster than the cell grows in logarithm. A search compares two
   * halves per level, so 2 log2 n bounds it as long as maxima seldom mislead.
   */
  @Test
  void candidatesPerPlacementGrowNoFasterThanLogN() {
    double small = candidatesPerPlacement(30);
    for (int workers : new int[] {30, 300, 1_500}) {
      assertThat(candidatesPerPlacement(workers))
          .isLessThanOrEqualTo(small * Math.log(workers) / Math.log(30))
          .isLessThanOrEqualTo(2 * Math.log(workers) / Math.log(2));
    }
  }

  private static double candidatesPerPlacement(int workers) {
    return PolicyBenchmark.runScheduler(PolicyBenchmark.candidateScenario(workers))
        .candidatesPerPlacement();
  }

  /** Failure: a full cell keeps urgent work waiting or gives a team more than its share. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void urgentWaitsAndSharesStayInBoundsInOverloadedCellWithFailingWorker(long seed) {
    Scenario s = new Scenario(60, 120, 1.6, Scenario.Outage.NONE, true, seed);
    Measurements m = PolicyBenchmark.runScheduler(s);
    assertThat(m.urgentWaitMillis.getValueAtPercentile(99)).isLessThanOrEqualTo(4_600);
    assertThat(m.urgentNeverStarted).isZero();
    assertThat(m.worstShareDeviation).isLessThanOrEqualTo(0.05);
  }

  /** Failure: urgent work waits for workers that are away, or for what is moved off them. */
  @ParameterizedTest
  @EnumSource(Scenario.Outage.class)
  void urgentWorkStartsInTimeWhileWorkersAreAway(Scenario.Outage outage) {
    Scenario s = new Scenario(60, 120, 0.85, outage, true, 1);
    Measurements m = PolicyBenchmark.runScheduler(s);
    assertThat(m.urgentWaitMillis.getValueAtPercentile(99)).isLessThanOrEqualTo(4_600);
    assertThat(m.urgentNeverStarted).isZero();
  }

  /** Failure: the rule that places jobs loads some owners far more than others. */
  @Test
  void hashingByJobBalancesOwnersBetterThanTheAlternatives() {
    double byJob = OwnerLoad.gini(OwnerLoad.simulateLoad(4, 1, OwnerLoad.byJob(4)));
    double byTeam = OwnerLoad.gini(OwnerLoad.simulateLoad(4, 1, OwnerLoad.byTeam(4)));
    double replicated = OwnerLoad.gini(OwnerLoad.simulateLoad(4, 1, OwnerLoad.replicated(4, 1)));
    assertThat(byJob).isLessThan(byTeam).isLessThan(replicated);
  }
}
