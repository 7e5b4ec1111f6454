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

/** Tests what each class of work gets of a cell whose load has bursts. */
class ClassShareTest {

  /** More seeds by hand: {@code -Dworkflow.seeds=20}. */
  private static final int SEEDS = Integer.getInteger("workflow.seeds", 6);

  /** Time until the end, 24 s after the last arrival, in milliseconds. */
  private static final long END_MILLIS = 60_000;

  /** Load of a burst in multiples of the load between bursts. */
  private static final double BURST_FACTOR = 1.9;

  /** Part of the cell that the rates below take on average. */
  private static final double MEAN_LOAD = 0.74;

  private static final int RUNNERS = 33;
  private static final int INSTANCES = 9;
  private static final ResourceVector CAPACITY = new ResourceVector(0, 0, 64_000, 131_072, 0);

  /** Urgent work, gangs and single tasks. */
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

  // A whole class of work starved while others were served.
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

  // The stated load leaves a quarter of the cell free, so that each class can be served.
  @ParameterizedTest
  @ValueSource(longs = {0, 3_000})
  void eachClassEarnsMostOfItsValueAtStatedLoad(long ownerAbsentMillis) {
    Map<String, Outcome> classes = simulate(0.74, ownerAbsentMillis);
    classes.forEach(
        (name, o) -> assertThat(o.earnedFraction()).as("%s %s", name, o).isGreaterThan(0.6));
  }

  // Work that finds most of the cell empty has no reason to be late.
  @Test
  void eachClassIsInTimeInNearlyEmptyCell() {
    Map<String, Outcome> classes = simulate(0.15, 0);
    classes.forEach(
        (name, o) -> assertThat(o.earnedFraction()).as("%s %s", name, o).isGreaterThan(0.9));
  }

  /**
   * Plays a day with two bursts on each seed and adds up what became of the classes.
   *
   * @param load mean load of the day as a part of the cell
   * @param ownerAbsentMillis time for which the owner is away after the first burst
   */
  private static Map<String, Outcome> simulate(double load, long ownerAbsentMillis) {
    final double baseFactor = load / (MEAN_LOAD * (1 + (BURST_FACTOR - 1) * 9 / 36));
    Map<String, Outcome> sums = new TreeMap<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      CellSimulation c = new CellSimulation(LOADS, RUNNERS, CAPACITY, INSTANCES, seed);
      c.arrivals(0, 8_000, baseFactor);
      c.arrivals(8_000, 13_000, BURST_FACTOR * baseFactor);
      c.arrivals(13_000, 24_000, baseFactor);
      c.arrivals(24_000, 28_000, BURST_FACTOR * baseFactor);
      c.arrivals(28_000, 36_000, baseFactor);
      c.run(END_MILLIS, 16_000, 16_000 + ownerAbsentMillis);
      for (QueueLoad l : LOADS) {
        sums.merge(l.name(), c.outcome(l.name(), 0, END_MILLIS), Outcome::plus);
      }
    }
    return sums;
  }
}
