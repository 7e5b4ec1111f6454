package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.CellSimulation.Outcome;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Tests a cell with a fifth of the runners and load of deployment 2 of docs/design/hard-load.md.
 */
class StragglerTest {

  /** Number of seeds; {@code -Dworkflow.seeds=20} sets more. */
  private static final int SEEDS = Integer.getInteger("workflow.seeds", 3);

  private static final long ARRIVALS_END_MILLIS = 60_000;
  private static final long END_MILLIS = 90_000;

  /** Rates as multiples of those of the deployment. */
  private static final double LOAD = 0.9;

  private static final int RUNNERS = 49;
  private static final int INSTANCES = 7;
  private static final ResourceVector CAPACITY = new ResourceVector(0, 0, 32_000, 65_536, 0);

  private static final List<QueueLoad> LOADS =
      List.of(
          new QueueLoad(
              "urgent",
              0,
              9.9,
              1,
              3,
              0.5,
              5_000,
              5_000,
              850,
              0.9,
              false,
              0,
              1.5,
              300,
              0.44,
              new Advice(11, 0.16, 2_500),
              0.7),
          new QueueLoad(
              "gang",
              1,
              0.53,
              1.2,
              16,
              0.3,
              9_000,
              9_000,
              5_300,
              0.5,
              true,
              0.5,
              2.2,
              1_000,
              9.45,
              new Advice(430, 6.2, 2_500),
              0.35),
          new QueueLoad(
              "batch",
              2,
              1.1,
              1.5,
              25,
              0.5,
              3_500,
              3_500,
              2_300,
              0.5,
              false,
              0.5,
              4,
              3_000,
              2.23,
              new Advice(100, 1.4, 2_500),
              0.45));

  private final RunCounts counts = new RunCounts(0);
  private final Map<String, Outcome> outcomes = new TreeMap<>();

  private void simulate(CellFaults faults) {
    for (int seed = 1; seed <= SEEDS; seed++) {
      CellSimulation c = new CellSimulation(LOADS, RUNNERS, CAPACITY, INSTANCES, seed, faults);
      c.arrivals(0, ARRIVALS_END_MILLIS, LOAD);
      c.run(END_MILLIS, 0, 0);
      counts.add(c.counts);
      for (QueueLoad l : LOADS) {
        Outcome o = c.outcome(l.name(), 0, ARRIVALS_END_MILLIS);
        outcomes.merge(l.name(), o, Outcome::plus);
      }
    }
    if (Boolean.getBoolean("workflow.print")) {
      System.out.println(faults + " " + counts);
      outcomes.forEach((q, o) -> System.out.printf("%s %.3f%n", q, o.earnedFraction()));
    }
  }

  // Guards against good work that is stopped, and healthy runners that lose their capacity, without
  // any fault.
  @Test
  void nothingIsStoppedInHealthyCell() {
    simulate(CellFaults.NONE);
    assertThat(counts.goodStops).as("%s", counts).isLessThan(counts.starts / 1_000);
    assertThat(counts.longestHeldGoodMillis).isLessThanOrEqualTo(2_000);
  }

  // Guards against good work that is stopped, and good runners that are quarantined, because some
  // tasks take seven times as long by themselves.
  @Test
  void longTasksAreHardlyEverStopped() {
    simulate(new CellFaults(0.03, 0, 0, 0));
    assertThat(counts.goodStops).as("%s", counts).isLessThan(counts.starts / 100);
    assertThat(counts.longestHeldGoodMillis).as("%s", counts).isLessThanOrEqualTo(2_000);
    assertThat(outcomes.get("batch").earnedFraction()).isGreaterThan(0.7);
  }

  // Guards against hung tasks that hold their capacity and delay their workflow for long, because
  // most tasks on their runner succeed. One in 20 may take longer: a gang hangs while few gangs of
  // its queue are done.
  @Test
  void hungTasksAreRestartedWithinFourTimesTheirExpectedTime() {
    simulate(new CellFaults(0, 4, 0, 0));
    assertThat(counts.hungFactors).hasSizeGreaterThan(10);
    assertThat(counts.hungFactor(0.95)).as("%s", counts).isLessThan(4);
    assertThat(counts.heldGoodMillis).as("%s", counts).isLessThan(counts.heldFaultyMillis / 10);
  }

  // Guards against long tasks that are taken for hung ones because some runners hang.
  @Test
  void longTasksAreRarelyStoppedBesideHangingRunners() {
    simulate(new CellFaults(0.03, 4, 0, 0));
    assertThat(counts.goodStops).as("%s", counts).isLessThan(counts.starts / 100);
    assertThat(counts.heldFaultyMillis).as("%s", counts).isGreaterThan(2 * counts.heldGoodMillis);
  }

  // Guards against work that is lost again and again on a runner that restarts every few seconds.
  @Test
  void flappingRunnerGetsLittleWork() {
    simulate(new CellFaults(0, 0, 2, 0));
    assertThat(counts.lost).as("%s", counts).isLessThan(counts.starts / 80);
  }

  // Guards against a quarantine of a slow runner, whose tasks all succeed, for as long as it stays
  // slow: it has capacity, although less.
  @Test
  void slowRunnersDoNotDelayOthers() {
    simulate(new CellFaults(0, 0, 0, 3));
    assertThat(counts.goodStops).as("%s", counts).isLessThan(counts.starts / 100);
    assertThat(outcomes.get("batch").earnedFraction()).isGreaterThan(0.95);
  }
}
