package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.TaskKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a task that is started elsewhere while its run still holds a lease by a clock that
 * the owner has not read: a slow one that it read long ago, or that of a new incarnation.
 */
class RestartedRunnerTest {

  private static final TaskKey TASK = new TaskKey("w", 0, 0, 0);

  /** Longer than the run time of any task, in milliseconds. */
  private static final long CUT_MILLIS = 12_000;

  private static final ResourceVector HALF_RUNNER = new ResourceVector(0, 0, 4_500, 10, 0);

  private static StepSpec step(int tasks, long milliCores) {
    // Run times are between 0.4 and 1.4 of the estimate.
    return StepSpecs.of(tasks, new ResourceVector(0, 0, milliCores, 10, 0), 25_000);
  }

  private final List<String> runners = new ArrayList<>();

  /** Creates a cell whose runners have a clock that shows less from their next restart on. */
  private PlatformCluster newCell(long seed) {
    PlatformCluster cell = new PlatformCluster(seed);
    for (int i = 0; i < PlatformCluster.RUNNERS; i++) {
      runners.add("r" + i);
    }
    cell.time.runFor(2_000);
    cell.runners.maxFirstClockMillis = 1;
    return cell;
  }

  private static void submit(PlatformCluster cell, String id, StepSpec step) {
    cell.submit(cell.cluster.anyNode(), id, PlatformCluster.URGENT, "a", List.of(step));
  }

  /** Runs until the task has started; returns its runner. */
  private String awaitStart(PlatformCluster cell) {
    assertThat(cell.time.runUntil(() -> cell.runners.isPresent(TASK), 2_000)).isTrue();
    return runners.stream()
        .filter(r -> cell.runners.incarnations.get(r).runs(TASK))
        .findFirst()
        .orElseThrow();
  }

  /** Restarts all runners and starts the task at once; returns its runner. */
  private String restartAllAndStart(PlatformCluster cell, long milliCores) {
    runners.forEach(cell.runners::restart);
    submit(cell, "w", step(1, milliCores));
    return awaitStart(cell);
  }

  private static void cutOffAndCheck(PlatformCluster cell, String runner) {
    cell.runners.cutLinks.add(runner);
    cell.time.runFor(CUT_MILLIS);
    assertThat(cell.invariants.violations).isEmpty();
    assertThat(cell.runners.isPresent(TASK)).as("was started again").isTrue();
  }

  // The runner's clock had fallen behind by a second since the owner had read it.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void taskOfIdleRunnerWithSlowClockRunsOnceWhenItsRunnerIsCutOff(long seed) {
    PlatformCluster cell = newCell(seed);
    cell.runners.maxClockRate = PlatformRunners.MIN_CLOCK_RATE;
    runners.forEach(cell.runners::restart);
    submit(cell, "before", StepSpecs.of(PlatformCluster.RUNNERS, HALF_RUNNER, 100));
    cell.time.runFor(50_000);
    assertThat(cell.runners.usedRunners).hasSize(PlatformCluster.RUNNERS);
    submit(cell, "w", step(1, 5_000));
    String runner = awaitStart(cell);
    cell.time.runFor(300);
    cutOffAndCheck(cell, runner);
  }

  // The owner granted the lease by the clock of the earlier incarnation, far ahead of the new one.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void taskOfIdleRunnerThatHasRestartedRunsOnceWhenItsRunnerIsCutOff(long seed) {
    PlatformCluster cell = newCell(seed);
    cell.time.runFor(20_000);
    String runner = restartAllAndStart(cell, 5_000);
    cell.time.runFor(300);
    cutOffAndCheck(cell, runner);
  }

  // As before, while a call to the earlier incarnation was still pending.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void taskOfBusyRunnerThatHasRestartedRunsOnceWhenItsRunnerIsCutOff(long seed) {
    PlatformCluster cell = newBusyCell(seed);
    String runner = restartAllAndStart(cell, 3_000);
    cell.time.runFor(100);
    cutOffAndCheck(cell, runner);
  }

  // As before, but the answer to the start was lost.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void taskWhoseStartOnRestartedRunnerWasNotAnsweredRunsOnce(long seed) {
    PlatformCluster cell = newBusyCell(seed);
    cutOffAndCheck(cell, restartAllAndStart(cell, 3_000));
  }

  static LongStream seeds() {
    long first = Long.getLong("dispatch.firstSeed", 20);
    return LongStream.range(first, first + Long.getLong("dispatch.seeds", 12));
  }

  // Guards against any order of restarts, cuts and changes of the owner in which a task runs twice.
  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskRunsTwiceWhenRunnersRestartAndAreCutOff(long seed) {
    PlatformCluster cell = newCell(seed);
    Random random = new Random(seed);
    for (int i = 0; i < 80; i++) {
      String runner = "r" + random.nextInt(PlatformCluster.RUNNERS);
      if (random.nextInt(3) == 0) {
        cell.runners.restart(runner);
        cell.time.afterMillis(random.nextInt(1_500), () -> cell.runners.cutLinks.add(runner));
        cell.time.afterMillis(9_000, () -> cell.runners.cutLinks.remove(runner));
      }
      if (!cell.cluster.nodes.isEmpty()) {
        submit(cell, "w" + i, step(4, 300));
      }
      disturbOwner(cell, random.nextInt(16), 300 + random.nextInt(3_000));
      cell.time.runFor(100 + random.nextInt(900));
    }
    cell.time.runFor(10_000);
    assertThat(cell.invariants.violations).isEmpty();
  }

  private static void disturbOwner(PlatformCluster cell, int kind, long millis) {
    Optional<WorkflowCluster.Node> owner = cell.cluster.owner();
    if (owner.isEmpty()) {
      return;
    }
    WorkflowCluster.Node o = owner.get();
    if (kind == 0) {
      o.process.pause();
      cell.time.afterMillis(millis, o.process::resume);
    } else if (kind == 1) {
      cell.cluster.kill(o.name);
      cell.time.afterMillis(millis, () -> cell.cluster.start(o.name));
    }
  }

  private PlatformCluster newBusyCell(long seed) {
    PlatformCluster cell = newCell(seed);
    cell.time.runFor(10_000);
    submit(cell, "busy", step(PlatformCluster.RUNNERS, 4_500));
    cell.time.runFor(2_000);
    assertThat(cell.runners.usedRunners).hasSize(PlatformCluster.RUNNERS);
    return cell;
  }
}
