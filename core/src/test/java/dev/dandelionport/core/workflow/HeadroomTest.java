package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeadroomTest {

  private static final int RUNNERS = 8;
  private static final ResourceVector URGENT_TASK = new ResourceVector(0, 0, 12_000, 1_000, 0);

  private final AdviceSimulation cell =
      new AdviceSimulation(RUNNERS, 1, new Advice(1, 1, 2_500), (step, runner) -> true);

  /** Runs bursts of urgent tasks one after the other, each for 100 ms. */
  private void urgentBursts(int bursts, int tasks) {
    for (int i = 0; i < bursts; i++) {
      String id = "urgent-" + cell.now;
      cell.submit(id, AdviceSimulation.URGENT, StepSpecs.of(tasks, URGENT_TASK, 100));
      cell.run(100);
      cell.end(id);
    }
  }

  // Guards against headroom on each runner that leaves no space for a second task of half a runner:
  // a gang that needed two tasks on some runners waited forever in an idle cell.
  @Test
  void gangOfHalfRunnerTasksStartsInFreeCell() {
    urgentBursts(60, 4);
    ResourceVector task = new ResourceVector(0, 0, 30_000, 17_392, 0);
    cell.submit("gang", AdviceSimulation.PLAIN, StepSpecs.gang(RUNNERS + 2, task, 5_000));
    assertThat(cell.runUntilStarted("gang", RUNNERS + 2, 1_000)).isTrue();
  }

  // Guards against a task that is larger than a runner without its headroom and never starts in an
  // idle cell.
  @Test
  void taskOfNearlyWholeRunnerStartsInFreeCell() {
    urgentBursts(60, 4);
    ResourceVector task = new ResourceVector(0, 0, 62_000, 100_000, 0);
    cell.submit("large", AdviceSimulation.PLAIN, StepSpecs.of(2, task, 5_000));
    assertThat(cell.runUntilStarted("large", 1, 1_000)).isTrue();
  }

  // Guards against a task that fills and never starts, although its cpu is not counted against the
  // runners' capacity, because each runner has less processor time free than the task would use.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void bestEffortTaskStartsWhereLessProcessorTimeIsFreeThanItWouldUse(boolean longRunning) {
    ResourceVector busy = new ResourceVector(0, 0, 30_000, 1_000, 0);
    StepSpec onEachRunner = StepSpecs.limitedPerRunner(StepSpecs.of(RUNNERS, busy, 60_000), 1);
    cell.submit("busy", AdviceSimulation.PLAIN, onEachRunner);
    assertThat(cell.runUntilStarted("busy", RUNNERS, 100)).isTrue();
    ResourceVector task = new ResourceVector(0, 0, 40_000, 1_000, 0);
    StepSpec step = longRunning ? StepSpecs.longRunning(1, task) : StepSpecs.of(1, task, 5_000);
    cell.submit("filler", AdviceSimulation.PLAIN, StepSpecs.bestEffort(step));
    assertThat(cell.runUntilStarted("filler", 1, 1_000)).isTrue();
  }

  // Guards against a task that lasts, is lost with its runner and never starts again while another
  // task of its step runs, although other runners have room for it.
  @Test
  void taskThatLastsStartsBesideItsSiblingWhereItNeedsTheHeadroom() {
    urgentBursts(60, 4);
    ResourceVector task = new ResourceVector(0, 0, 59_000, 1_000, 0);
    cell.submit("lasting", AdviceSimulation.PLAIN, StepSpecs.longRunning(2, task));
    assertThat(cell.runUntilStarted("lasting", 2, 1_000)).isTrue();
    cell.loseRuns(cell.running("lasting").get(0).runner());
    assertThat(cell.runUntilStarted("lasting", 2, 1_000)).isTrue();
  }

  // Guards against the same where less than half of the pool is free.
  @Test
  void taskThatLastsStartsInFullCellWithRoomForTwo() {
    urgentBursts(60, 4);
    ResourceVector task = new ResourceVector(0, 0, 59_000, 1_000, 0);
    cell.submit("busy", AdviceSimulation.PLAIN, StepSpecs.longRunning(RUNNERS - 2, task));
    assertThat(cell.runUntilStarted("busy", RUNNERS - 2, 1_000)).isTrue();
    cell.submit("lasting", AdviceSimulation.PLAIN, StepSpecs.longRunning(1, task));
    assertThat(cell.runUntilStarted("lasting", 1, 1_000)).isTrue();
  }

  // Guards against a backlog of large steps that use up the headroom for urgent work one after the
  // other.
  @Test
  void urgentTasksStartDespiteBacklogOfLargeTasks() {
    urgentBursts(60, RUNNERS);
    ResourceVector task = new ResourceVector(0, 0, 30_000, 17_392, 0);
    for (int i = 0; i < 4 * RUNNERS; i++) {
      cell.submit("large-" + i, AdviceSimulation.PLAIN, StepSpecs.of(1, task, 60_000));
    }
    cell.run(1_000);
    cell.submit("urgent", AdviceSimulation.URGENT, StepSpecs.of(RUNNERS, URGENT_TASK, 100));
    assertThat(cell.runUntilStarted("urgent", RUNNERS, 0)).isTrue();
  }

  // Guards against the average size of urgent tasks, which never decays, keeping half a task free
  // on each runner long after the last urgent task has ended.
  @Test
  void headroomShrinksToMinimumLongAfterLastUrgentTask() {
    urgentBursts(60, 4);
    cell.run(60_000);
    ResourceVector task = new ResourceVector(0, 0, 30_000, 17_392, 0);
    cell.submit("gang", AdviceSimulation.PLAIN, StepSpecs.gang(2 * RUNNERS, task, 5_000));
    assertThat(cell.runUntilStarted("gang", 2 * RUNNERS, 1_000)).isTrue();
  }
}
