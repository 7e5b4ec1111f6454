package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.WorkflowState;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RunnerLinkTest {

  private static StepSpec step(int tasks) {
    return StepSpecs.of(tasks, new ResourceVector(0, 0, 5_000, 100, 0), 400);
  }

  // A runner lists only some of its ends until they are acknowledged. Runs whose ends were left out
  // were taken for runs that had never started, and their tasks ran again.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void tasksWhoseEndsDoNotFitIntoOneReportRunOnce(long seed) {
    PlatformCluster cell = new PlatformCluster(seed);
    cell.time.runFor(2_000);
    StepSpec s = StepSpecs.of(240, new ResourceVector(0, 0, 250, 25, 0), 800);
    cell.submit(cell.cluster.anyNode(), "w", PlatformCluster.URGENT, "a", List.of(s));
    assertThat(cell.time.runUntil(() -> cell.runners.starts >= 240, 2_000)).isTrue();
    List<String> nodes = List.copyOf(cell.cluster.nodes.keySet());
    nodes.forEach(cell.cluster::kill);
    cell.time.runFor(1_500);
    nodes.forEach(cell.cluster::start);
    cell.time.runFor(30_000);
    assertThat(cell.state("w")).contains(WorkflowState.COMPLETED);
    assertThat(cell.invariants.violations).isEmpty();
  }

  // An owner that was paused read a report late and acknowledged its ends to a runner that had
  // restarted meanwhile, which forgets its own ends up to that number.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void resumedOwnerAcknowledgesNoEndsToNewIncarnation(long seed) {
    PlatformCluster cell = new PlatformCluster(seed);
    cell.time.runFor(2_000);
    cell.submit(cell.cluster.anyNode(), "w", PlatformCluster.URGENT, "a", List.of(step(8)));
    assertThat(cell.time.runUntil(() -> cell.runners.starts >= 8, 2_000)).isTrue();
    WorkflowCluster.Node owner = cell.cluster.owner().orElseThrow();
    cell.time.runFor(250);
    owner.process.pause();
    cell.time.runFor(330);
    for (int i = 0; i < PlatformCluster.RUNNERS; i++) {
      cell.runners.restart("r" + i);
    }
    cell.time.runFor(370);
    owner.process.resume();
    cell.time.runFor(8_000);
    assertThat(owner.instance.isOwner()).isTrue();
    assertThat(cell.invariants.violations).isEmpty();
  }

  // A runner whose wall clock was set back during a restart was mistaken for its earlier
  // incarnation: its reports were dropped, its ends were not processed, and its runs never ended.
  @Test
  void reportsOfRunnerWhoseClockWasSetBackAreAccepted() {
    PlatformCluster cell = new PlatformCluster(3);
    cell.time.runFor(2_000);
    for (int i = 0; i < PlatformCluster.RUNNERS; i++) {
      cell.runners.restart("r" + i, 60_000);
    }
    cell.time.runFor(2_000);
    cell.submit(cell.cluster.anyNode(), "w", PlatformCluster.URGENT, "a", List.of(step(8)));
    cell.time.runFor(8_000);
    assertThat(cell.state("w")).contains(WorkflowState.COMPLETED);
    assertThat(cell.invariants.violations).isEmpty();
  }

  // An idle runner is not called: a restart was noticed only with its next task, seconds after its
  // entry had shown it, and that task was placed by what was known of the earlier incarnation.
  @Test
  void idleRunnersThatRestartReportOnceTheirEntriesAreListed() {
    PlatformCluster cell = new PlatformCluster(3);
    cell.time.runFor(2_000);
    for (int i = 0; i < PlatformCluster.RUNNERS; i++) {
      cell.runners.restart("r" + i);
    }
    cell.time.runFor(1_000);
    assertThat(cell.trace)
        .filteredOn(x -> x.contains("RUNNER_REBORN"))
        .hasSize(PlatformCluster.RUNNERS);
  }

  // A runner that was down for seconds got its next call up to a second after the entry of its new
  // incarnation: the delay had grown with the failed calls to the earlier one.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void failedCallsToEarlierIncarnationDoNotDelayTheFirstOneToTheNext(long seed) {
    PlatformCluster cell = new PlatformCluster(seed);
    cell.time.runFor(2_000);
    cell.submit(cell.cluster.anyNode(), "w", PlatformCluster.URGENT, "a", List.of(step(8)));
    assertThat(cell.time.runUntil(() -> cell.runners.starts >= 8, 2_000)).isTrue();
    cell.runners.crash("r1");
    cell.time.runFor(3_500 + 50 * seed);
    cell.trace.clear();
    cell.runners.restart("r1");
    cell.putRunner("r1", "ready");
    cell.time.runFor(100);
    assertThat(cell.trace).anyMatch(x -> x.contains("RUNNER_REBORN"));
  }
}
