package dev.dandelionport.bench;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks counts and virtual times against the stated targets. Wall-clock times are not checked,
 * because they depend on the machine.
 */
class PolicyBoundsTest {

  /**
   * Guards against placements whose cost grows faster than the logarithm of the number of workers.
   * The search compares two subtrees per level, so it examines at most 2 log2 n candidates as long
   * as the maxima of a subtree rarely suggest capacity that none of its workers has.
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

  /**
   * Guards against an overloaded cell in which deferrable work delays urgent jobs or a team
   * receives more or less than its share.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void urgentWaitsAndSharesStayInBoundsInOverloadedCellWithFailingWorker(long seed) {
    Scenario s = new Scenario(60, 120, 1.6, Scenario.Outage.NONE, true, seed);
    Measurements m = PolicyBenchmark.runScheduler(s);
    assertThat(m.urgentWaitMillis.getValueAtPercentile(99)).isLessThanOrEqualTo(4_600);
    assertThat(m.urgentNeverStarted).isZero();
    assertThat(m.worstShareDeviation).isLessThanOrEqualTo(0.05);
  }

  /**
   * Guards against urgent jobs that are delayed during an outage or a drain, because they wait for
   * unavailable workers or behind tasks that are moved off them.
   */
  @ParameterizedTest
  @EnumSource(Scenario.Outage.class)
  void urgentWorkStartsInTimeWhileWorkersAreAway(Scenario.Outage outage) {
    Scenario s = new Scenario(60, 120, 0.85, outage, true, 1);
    Measurements m = PolicyBenchmark.runScheduler(s);
    assertThat(m.urgentWaitMillis.getValueAtPercentile(99)).isLessThanOrEqualTo(4_600);
    assertThat(m.urgentNeverStarted).isZero();
  }

  /**
   * Guards against a placement rule that loads some owners far more than others when a few teams
   * submit most jobs.
   */
  @Test
  void hashingByJobBalancesOwnersBetterThanTheAlternatives() {
    double byJob = OwnerLoad.gini(OwnerLoad.simulateLoad(4, 1, OwnerLoad.byJob(4)));
    double byTeam = OwnerLoad.gini(OwnerLoad.simulateLoad(4, 1, OwnerLoad.byTeam(4)));
    double replicated = OwnerLoad.gini(OwnerLoad.simulateLoad(4, 1, OwnerLoad.replicated(4, 1)));
    assertThat(byJob).isLessThan(byTeam).isLessThan(replicated);
  }
}
