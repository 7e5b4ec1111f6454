package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.CellSimulation.Outcome;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the service that each class of work receives in a cell with bursts of load. */
class ClassShareTest {

  /** Number of seeds; {@code -Dworkflow.seeds=20} sets more. */
  private static final int SEEDS = Integer.getInteger("workflow.seeds", 6);

  /** End of the simulation, 24 s after the last arrival, in milliseconds. */
  private static final long END_MILLIS = 60_000;

  /** Load during a burst as a multiple of the load between bursts. */
  private static final double BURST_FACTOR = 1.9;

  /** Fraction of the cell that the rates below use on average. */
  private static final double MEAN_LOAD = 0.74;

  private static final int RUNNERS = 33;
  private static final int INSTANCES = 9;
  private static final ResourceVector CAPACITY = new ResourceVector(0, 0, 64_000, 131_072, 0);

  /** Queues with urgent work, gangs and independent tasks. */
  static final List<QueueLoad> LOADS =
      List.of(
          new QueueLoad(
              "urgent",
              0,
              27,
              1,
              2,
              0.8,
              5_100,
              9_400,
              800,
              0.5,
              false,
              0,
              1.5,
              250,
              0.44,
              new Advice(9, 0.13, 2_500),
              0.7),
          new QueueLoad(
              "dossier",
              1,
              1.44,
              1.2,
              6.4,
              0.6,
              18_000,
              26_000,
              4_000,
              0.9,
              true,
              0.5,
              2.2,
              1_000,
              9.45,
              new Advice(360, 5.2, 2_500),
              0.35),
          new QueueLoad(
              "record",
              2,
              3.8,
              1.5,
              10,
              0.8,
              3_600,
              3_700,
              2_700,
              0.5,
              false,
              0.8,
              4,
              3_000,
              2.23,
              new Advice(66, 0.94, 2_500),
              0.45));

  // Guards against a class of work that starves while others are served.
  @Test
  void noClassEarnsLessThanHalfOfOverallFraction() {
    Map<String, Outcome> classes = simulate(0.74, 0);
    Outcome overall = classes.values().stream().reduce(Outcome.NONE, Outcome::plus);
    classes.forEach(
        (name, o) ->
            assertThat(o.earnedFraction())
                .as("%s %s", name, o)
                .isGreaterThan(overall.earnedFraction() / 2));
  }

  // Guards against work that is late or lost at the stated load, which leaves a quarter of the cell
  // free, with and without an absence of the owner.
  @ParameterizedTest
  @ValueSource(longs = {0, 3_000})
  void eachClassEarnsMostOfItsValueAtStatedLoad(long ownerAbsentMillis) {
    Map<String, Outcome> classes = simulate(0.74, ownerAbsentMillis);
    classes.forEach(
        (name, o) -> assertThat(o.earnedFraction()).as("%s %s", name, o).isGreaterThan(0.6));
  }

  // Guards against work that is late although most of the cell is empty.
  @Test
  void eachClassIsInTimeInNearlyEmptyCell() {
    Map<String, Outcome> classes = simulate(0.15, 0);
    classes.forEach(
        (name, o) -> assertThat(o.earnedFraction()).as("%s %s", name, o).isGreaterThan(0.9));
  }

  /**
   * Simulates arrivals with two bursts on each seed and sums up the outcomes by class.
   *
   * @param load mean load as a fraction of the cell
   * @param ownerAbsentMillis time for which the owner is absent after the first burst
   */
  private static Map<String, Outcome> simulate(double load, long ownerAbsentMillis) {
    final double baseFactor = load / (MEAN_LOAD * (1 + (BURST_FACTOR - 1) * 9 / 36));
    Map<String, Outcome> sums = new TreeMap<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      CellSimulation c = new CellSimulation(LOADS, List.of(), RUNNERS, CAPACITY, INSTANCES, seed);
      c.arrivals(0, 8_000, baseFactor);
      c.arrivals(8_000, 13_000, BURST_FACTOR * baseFactor);
      c.arrivals(13_000, 24_000, baseFactor);
      c.arrivals(24_000, 28_000, BURST_FACTOR * baseFactor);
      c.arrivals(28_000, 36_000, baseFactor);
      c.run(END_MILLIS, 16_000, 16_000 + ownerAbsentMillis);
      // Guards against refusals in a cell that can serve bursts and a short absence of its owner.
      assertThat(c.refusals()).isZero();
      for (QueueLoad l : LOADS) {
        sums.merge(l.name(), c.outcome(l.name(), 0, END_MILLIS), Outcome::plus);
      }
    }
    return sums;
  }
}
