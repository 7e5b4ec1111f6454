package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WideGangTest {

  /** Time within which a gang that fits twice must start, in milliseconds. */
  private static final long START_MILLIS = 3_000;

  private static final int CELLS = 60;

  /** A cell with random size, load and advice rule. */
  private static final class RandomCell {
    final Random random;
    final AdviceSimulation cell;
    final Map<String, ResourceVector> free = new HashMap<>();

    RandomCell(long seed) {
      random = new Random(seed);
      int runners = 30 + random.nextInt(221);
      double allowedFraction = 0.3 + 0.4 * random.nextDouble();
      boolean large = runners > 100;
      Advice advice = large ? new Advice(380, 5.5, 2_500) : new Advice(360, 5.2, 2_500);
      cell =
          new AdviceSimulation(
              runners,
              large ? 39 : 9,
              advice,
              AdviceSimulation.allowFraction(allowedFraction, seed));
      occupy();
      earlierSteps();
      urgentLoad();
    }

    /** Occupies less than half of the cell with tasks that do not end. */
    private void occupy() {
      double level = 0.9 * random.nextDouble();
      for (String r : cell.runners) {
        long cores = (long) (level * random.nextDouble() * 64_000);
        long memory = (long) (level * random.nextDouble() * 131_072);
        cell.submit("load-" + r, AdviceSimulation.PLAIN, AdviceSimulation.taskOn(r, cores, memory));
        free.put(r, AdviceSimulation.CAPACITY.minus(new ResourceVector(0, 0, cores, memory, 0)));
      }
      cell.run(200);
    }

    /**
     * Runs single tasks of the gang's queue, whose answers set the queue's expected fraction of
     * allowed runners.
     */
    private void earlierSteps() {
      for (int i = 0; i < 10; i++) {
        cell.submit(
            "earlier-" + i,
            AdviceSimulation.ADVISED,
            StepSpecs.of(1, new ResourceVector(0, 0, 500, 500, 0), 300));
      }
      cell.run(2_000);
      for (int i = 0; i < 10; i++) {
        cell.end("earlier-" + i);
      }
    }

    /** Runs urgent tasks that end before the gang is submitted. */
    private void urgentLoad() {
      long cores = 1_000 + random.nextInt(12_000);
      int tasks = 1 + random.nextInt(cell.runners.size());
      for (int round = 0; round < 5; round++) {
        for (int i = 0; i < 20; i++) {
          cell.submit(
              "urgent-" + round + "-" + i,
              AdviceSimulation.URGENT,
              StepSpecs.of(1 + tasks / 20, new ResourceVector(0, 0, cores, 1_000, 0), 300));
        }
        cell.run(100);
        for (int i = 0; i < 20; i++) {
          cell.end("urgent-" + round + "-" + i);
        }
      }
    }

    /** Returns how many tasks fit on the allowed runners. */
    int countFitting(String workflow, ResourceVector task, int maxPerRunner) {
      int n = 0;
      for (String r : cell.runners) {
        int fitting = cell.allows(workflow, r) ? task.countFittingIn(free.get(r)) : 0;
        n += maxPerRunner > 0 ? Math.min(maxPerRunner, fitting) : fitting;
      }
      return n;
    }

    /**
     * Returns a random gang that fits twice. Some gangs prefer a single rack or limit the tasks on
     * one runner.
     */
    StepSpec gang(String workflow) {
      long cores = 4_000 + random.nextInt(28_000);
      ResourceVector task = new ResourceVector(0, 0, cores, 2_000 + random.nextInt(20_000), 0);
      boolean sameRack = random.nextInt(4) == 0;
      int maxPerRunner = random.nextInt(4) == 0 ? 1 + random.nextInt(2) : 0;
      int tasks = Math.min(120, countFitting(workflow, task, maxPerRunner) / 2);
      StepSpec s = StepSpecs.gang(tasks, task, 5_000);
      return new StepSpec(
          s.tasks(),
          s.size(),
          s.estimateMillis(),
          s.dependencies(),
          false,
          true,
          sameRack,
          "",
          "",
          maxPerRunner,
          false,
          false,
          false,
          "",
          0,
          0);
    }
  }

  // Guards against a gang that waits forever although half of the cell is free: no advice was
  // requested for its runners, or the calls ran one after the other, or the headroom for urgent
  // work excluded half of each runner.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void gangThatFitsTwiceStartsInTime(long seed) {
    StringBuilder failures = new StringBuilder();
    for (int i = 0; i < CELLS; i++) {
      RandomCell c = new RandomCell(1_000 * seed + i);
      StepSpec gang = c.gang("gang");
      if (gang.tasks() < 2) {
        continue;
      }
      c.cell.submit("gang", AdviceSimulation.ADVISED, gang);
      if (!c.cell.runUntilStarted("gang", gang.tasks(), START_MILLIS)) {
        failures.append(
            String.format(
                "%n%d: %s, same rack %b, %d runners, %d requested, %d calls rejected",
                1_000 * seed + i,
                gang.summary(),
                gang.sameRack(),
                c.cell.runners.size(),
                c.cell.requestedRunners("gang").size(),
                c.cell.refusedCalls));
      }
    }
    assertThat(failures.toString()).isEmpty();
  }
}
