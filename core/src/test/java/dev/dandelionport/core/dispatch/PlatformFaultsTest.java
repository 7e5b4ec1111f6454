package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.TaskKey;
import dev.dandelionport.core.workflow.WorkflowState;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PlatformFaultsTest {

  /** Time after the last fault by which all work must have ended, in milliseconds. */
  private static final long FINISH_MILLIS = 90_000;

  /**
   * Number of submissions, each large enough to use all runners, within which every healthy runner
   * must get work.
   */
  private static final int WAVES = 15;

  /** Time within which a long-running task runs again after a failure, in milliseconds. */
  private static final long RESTART_MILLIS = 6_000;

  private static final long WAVE_MILLIS = 1_000;

  /** Returns the seeds to run: 8 by default, N with {@code -Ddispatch.seeds=N}. */
  private static LongStream seeds() {
    long first = Long.getLong("dispatch.firstSeed", 1);
    return LongStream.range(first, first + Long.getLong("dispatch.seeds", 8));
  }

  // Guards against combinations of faults that lose a workflow, permanently exclude a healthy
  // runner, or violate an invariant, such as a task that runs twice at once or a runner over its
  // capacity.
  @ParameterizedTest
  @MethodSource("seeds")
  void invariantsHoldUnderRandomFaultsOfWholePlatform(long seed) {
    runScenario(seed, false);
  }

  // Guards against starts on runners that are draining, closed or no longer listed, and against
  // starts of cancelled work, after the time by which instances must have received the change.
  @ParameterizedTest
  @MethodSource("seeds")
  void timeBoundsHoldUnderPlannedChanges(long seed) {
    runScenario(seed, true);
  }

  private static void runScenario(long seed, boolean plannedOnly) {
    PlatformCluster cell = new PlatformCluster(seed);
    PlatformFaults faults = new PlatformFaults(cell, seed, plannedOnly);
    cell.time.runFor(2_000);
    faults.submitLongRunning();
    cell.time.runFor(200);
    for (int i = 0; i < 400; i++) {
      if (i % 3 == 0) {
        faults.submit();
      }
      faults.injectNext();
      cell.time.runFor(50 + cell.time.random().nextInt(100));
    }
    faults.endFaults();
    Set<String> unfinished = new TreeSet<>(cell.invariants.workflows.keySet());
    unfinished.removeIf(id -> !cell.invariants.workflows.get(id).accepted);
    unfinished.remove(PlatformFaults.LONG_RUNNING);
    assertThat(unfinished).isNotEmpty();
    long deadlineMillis = cell.time.nowMillis() + FINISH_MILLIS;
    while (!unfinished.isEmpty() && cell.time.nowMillis() < deadlineMillis) {
      cell.time.runFor(2_000);
      unfinished.removeIf(id -> hasEnded(cell, id));
    }
    assertThat(cell.invariants.violations).as(() -> traceTail(cell)).isEmpty();
    assertThat(unfinished).as(() -> traceTail(cell) + describe(cell, unfinished)).isEmpty();
    assertLongRunningTasksRun(cell);
    assertAllRunnersGetWork(cell);
    assertThat(cell.invariants.violations).isEmpty();
  }

  private static boolean hasEnded(PlatformCluster cell, String id) {
    Optional<WorkflowState> s = cell.state(id);
    if (s.isEmpty()) {
      return false;
    }
    PlatformInvariants.Submitted w = cell.invariants.workflows.get(id);
    switch (s.get()) {
      case COMPLETED ->
          assertThat(cell.invariants.isDone(id)).as("all tasks of %s succeeded", id).isTrue();
      case FAILED ->
          assertThat(cell.invariants.mayFail(id))
              .as("a task of %s failed often enough", id)
              .isTrue();
      case CANCELLED ->
          assertThat(w.cancelSent).as("cancellation of %s was requested", id).isTrue();
      default -> {
        return false;
      }
    }
    return true;
  }

  private static void assertLongRunningTasksRun(PlatformCluster cell) {
    assertThat(cell.invariants.workflows.get(PlatformFaults.LONG_RUNNING).accepted).isTrue();
    for (int i = 0; i < 3; i++) {
      TaskKey t = new TaskKey(PlatformFaults.LONG_RUNNING, 0, 0, i);
      assertThat(cell.time.runUntil(() -> cell.runners.isPresent(t), RESTART_MILLIS))
          .as(() -> t + " runs " + traceTail(cell))
          .isTrue();
    }
  }

  private static void assertAllRunnersGetWork(PlatformCluster cell) {
    cell.runners.usedRunners.clear();
    StepSpec step =
        StepSpecs.of(PlatformCluster.RUNNERS, new ResourceVector(0, 0, 7_000, 100, 0), 400);
    boolean allUsed = false;
    for (int i = 0; i < WAVES && !allUsed; i++) {
      cell.submit(cell.cluster.anyNode(), "all" + i, PlatformCluster.URGENT, "a", List.of(step));
      allUsed =
          cell.time.runUntil(
              () -> cell.runners.usedRunners.size() == PlatformCluster.RUNNERS, WAVE_MILLIS);
    }
    assertThat(allUsed)
        .as(() -> "only " + cell.runners.usedRunners + " get work " + traceTail(cell))
        .isTrue();
  }

  private static String describe(PlatformCluster cell, Set<String> unfinished) {
    return unfinished.stream()
        .map(id -> "\n" + id + " " + cell.state(id) + " " + cell.invariants.describe(id))
        .collect(Collectors.joining());
  }

  /**
   * Returns the last lines of the trace of reports and faults; {@code -Ddispatch.trace=N} sets
   * their number.
   */
  private static String traceTail(PlatformCluster cell) {
    int from = Math.max(0, cell.trace.size() - Integer.getInteger("dispatch.trace", 30));
    return String.join("\n", cell.trace.subList(from, cell.trace.size()));
  }
}
