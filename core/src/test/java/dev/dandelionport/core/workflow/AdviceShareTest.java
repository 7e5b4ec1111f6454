package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.CellSimulation.Outcome;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the service of each class of work in a large cell in which the advice calls of gangs take
 * about a second, so that all instances together handle fewer calls than the gangs could use.
 */
class AdviceShareTest {

  /** Number of seeds; {@code -Dworkflow.seeds=10} sets more. */
  private static final int SEEDS = Integer.getInteger("workflow.seeds", 1);

  /** End of the arrivals, in milliseconds. */
  private static final long ARRIVALS_END_MILLIS = 30_000;

  /** End of the simulation, in milliseconds. */
  private static final long END_MILLIS = 50_000;

  private static final int RUNNERS = 245;
  private static final int INSTANCES = 29;
  private static final ResourceVector CAPACITY = new ResourceVector(0, 0, 64_000, 262_144, 0);

  private static final List<QueueLoad> LOADS =
      List.of(
          new QueueLoad(
              "interactive",
              0,
              77,
              1,
              3.2,
              0.8,
              9_900,
              37_000,
              800,
              0.2,
              false,
              0,
              1.5,
              250,
              0.405,
              new Advice(16.7, 0.169, 2_500),
              0.7),
          new QueueLoad(
              "gang",
              1,
              3.34,
              1.2,
              16,
              0.6,
              18_000,
              36_000,
              6_200,
              0.5,
              true,
              0.5,
              2.2,
              1_000,
              10.7,
              new Advice(799, 8.06, 2_500),
              0.35),
          new QueueLoad(
              "batch",
              2,
              8.63,
              1.5,
              25,
              0.8,
              6_900,
              26_000,
              2_200,
              0.2,
              false,
              0.8,
              4,
              3_000,
              2.59,
              new Advice(149, 1.43, 2_500),
              0.45));

  // Guards against a class of work that never gets an advice call although much of the cell is
  // free, because the calls for gangs of a higher priority occupy all instances.
  @ParameterizedTest
  @CsvSource({"1.0, 0.9", "1.3, 0.7"})
  void eachClassIsServedBesideGangsWithSlowAdvice(double load, double minEarnedFraction) {
    Map<String, Outcome> classes = simulate(load);
    classes.forEach(
        (name, o) ->
            assertThat(o.earnedFraction()).as("%s %s", name, o).isGreaterThan(minEarnedFraction));
  }

  /**
   * Simulates arrivals on each seed and sums up the outcomes by class.
   *
   * @param load load as a multiple of the rates above
   */
  private static Map<String, Outcome> simulate(double load) {
    Map<String, Outcome> sums = new TreeMap<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      CellSimulation c = new CellSimulation(LOADS, List.of(), RUNNERS, CAPACITY, INSTANCES, seed);
      c.arrivals(0, ARRIVALS_END_MILLIS, load);
      c.run(END_MILLIS, END_MILLIS, END_MILLIS);
      for (QueueLoad l : LOADS) {
        sums.merge(l.name(), c.outcome(l.name(), 0, END_MILLIS), Outcome::plus);
      }
    }
    return sums;
  }
}
