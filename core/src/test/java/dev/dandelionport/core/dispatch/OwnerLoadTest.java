package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class OwnerLoadTest {

  private static StepSpec step(int tasks, long milliCores) {
    return StepSpecs.of(tasks, new ResourceVector(0, 0, milliCores, 10, 0), 400);
  }

  private static List<WorkflowCluster.Report> loads(WorkflowCluster c) {
    return c.reports.stream().filter(r -> r.topic() == DispatchTopic.OWNER_LOAD).toList();
  }

  /** Runs until the next load report of the owner and returns its fields. */
  private static Map<String, Object> nextLoad(WorkflowCluster c) {
    int before = loads(c).size();
    assertThat(c.time.runUntil(() -> loads(c).size() > before, 2_100)).isTrue();
    return loads(c).get(before).fields();
  }

  // Guards against an idle owner that does not report its load, and against reports from instances
  // that are not the owner.
  @Test
  void onlyOwnerReportsLoadEveryTwoSeconds() {
    WorkflowCluster c = new WorkflowCluster(1, 3);
    c.time.runFor(2_000);
    String owner = c.owner().orElseThrow().name;
    c.reports.clear();
    c.time.runFor(10_000);
    assertThat(loads(c)).hasSize(5).allMatch(r -> r.node().equals(owner));
    assertThat(loads(c)).allMatch(r -> r.fields().get("millis").equals(2_000L));
    Map<String, Object> idle = loads(c).get(0).fields();
    assertThat(idle).containsEntry("open", true).containsEntry("listed", 6);
    assertThat(idle).containsEntry("answered", 6).containsEntry("waitingTasks", 0);
    assertThat(idle).containsEntry("adviceFree", 3).containsEntry("adviceBusy", 0);
    assertThat((long) idle.get("passes")).isPositive();
    assertThat(idle).containsEntry("cutOff", 0L).containsEntry("lagMaxMillis", 0.0);
  }

  // Guards against a backlog that is not visible in the load report. Tasks wait here because they
  // are larger than any runner, or because all runners are full.
  @Test
  void waitingAndRunningWorkIsCountedByQueue() {
    WorkflowCluster c = new WorkflowCluster(2, 2);
    c.time.runFor(2_000);
    nextLoad(c);
    c.time.runFor(1_700);
    c.submit(c.anyNode(), "large", step(3, 5_000));
    c.submit(c.anyNode(), "fits", step(30, 1_000));
    Map<String, Object> load = nextLoad(c);
    assertThat(load).containsEntry("waitingSteps", "{q=2}").containsEntry("waitingTasks", 9);
    assertThat(load).containsEntry("runs", "{q=24}").containsEntry("coresUsedPercent", 100);
    assertThat(load).containsEntry("holds", 6);
    assertThat((long) load.get("looked")).isPositive();
  }

  // Guards against work that is not started because a pass examines a limited number of steps,
  // without a sign of it in the load report.
  @Test
  void stepsNotReachedByPassesAreCounted() {
    WorkflowCluster c = new WorkflowCluster(3, 1);
    c.time.runFor(2_000);
    for (int i = 0; i < 230; i++) {
      c.submit(c.anyNode(), "large" + i, step(1, 5_000));
    }
    nextLoad(c);
    Map<String, Object> load = nextLoad(c);
    assertThat(load).containsEntry("waitingSteps", "{q=230}").containsEntry("cutOffMost", 30);
    long passes = (long) load.get("passes");
    assertThat(load).containsEntry("looked", 200 * passes).containsEntry("cutOff", 30 * passes);
  }

  // Guards against unresponsive runners, and orders waiting for them, that are not visible in the
  // load report. A runner is cut off while orders to it are in flight, so further orders wait and
  // it is no longer used.
  @Test
  void unresponsiveRunnersAndWaitingOrdersAreCounted() {
    WorkflowCluster c = new WorkflowCluster(4, 1);
    c.time.runFor(2_000);
    nextLoad(c);
    c.time.runFor(1_000);
    // Orders are sent at once only to runners that have answered recently.
    c.submit(c.anyNode(), "before", step(24, 1_000));
    c.time.runFor(800);
    c.runners.cutLinks.add("r0");
    c.submit(c.anyNode(), "w", step(24, 1_000));
    Map<String, Object> load = nextLoad(c);
    assertThat(load).containsEntry("ordersWaiting", 1).containsEntry("ordersMost", 1);
    assertThat(nextLoad(c)).containsEntry("silent", 1).containsEntry("answered", 6);
    c.store.remove("runners/r5");
    assertThat(nextLoad(c)).containsEntry("listed", 5).containsEntry("gone", 0);
  }

  // Guards against a store outage that stops all scheduling while the owner looks idle in the load
  // report.
  @Test
  void recordsNotAcceptedByStoreAreCounted() {
    WorkflowCluster c = new WorkflowCluster(5, 1);
    c.time.runFor(2_000);
    assertThat(nextLoad(c)).containsEntry("journalBatches", 0).containsEntry("journalRecords", 0);
    c.time.runFor(1_500);
    c.store.refusedCallers.add("n0");
    c.submit(c.anyNode(), "w", step(4, 1_000));
    Map<String, Object> load = nextLoad(c);
    assertThat((int) load.get("journalBatches")).isPositive();
    // One record for the workflow and one for each run to start.
    assertThat(load).containsEntry("journalRecords", 5);
    assertThat((long) load.get("journalOldestMillis")).isBetween(450L, 500L);
  }

  // Guards against a process starved of processor time that looks like an idle one in the load
  // report.
  @Test
  void lateTimerIsReportedAsLag() {
    WorkflowCluster c = new WorkflowCluster(6, 1);
    c.time.runFor(2_000);
    nextLoad(c);
    WorkflowCluster.Node n = c.owner().orElseThrow();
    n.process.pause();
    c.time.runFor(400);
    n.process.resume();
    Map<String, Object> load = nextLoad(c);
    assertThat((double) load.get("lagMaxMillis")).isBetween(350.0, 400.0);
    assertThat(nextLoad(c)).containsEntry("lagMaxMillis", 0.0);
  }

  // Guards against clients that are not counted in the load report while they wait for an owner
  // that cannot open, here because the configuration is missing.
  @Test
  void callsWaitingForOwnerToOpenAreCounted() {
    WorkflowCluster c = new WorkflowCluster(7, 1);
    c.time.runFor(2_000);
    c.store.remove("op/config");
    c.kill("n0");
    c.start("n0");
    c.time.runFor(2_500);
    c.submit(c.anyNode(), "w", step(1, 1_000));
    Map<String, Object> load = nextLoad(c);
    assertThat(load).containsEntry("open", false).containsEntry("early", 1);
  }

  // Guards against a load field that the event catalogue does not describe.
  @Test
  void catalogueDescribesEveryField() throws IOException {
    WorkflowCluster c = new WorkflowCluster(8, 1);
    c.time.runFor(2_000);
    List<String> listed =
        Files.readAllLines(Path.of("..", "docs", "EVENTS.md")).stream()
            .dropWhile(l -> !l.equals("## Load of the owner"))
            .skip(1)
            .takeWhile(l -> !l.startsWith("## "))
            .filter(l -> l.startsWith("| ") && !l.startsWith("| Field"))
            .flatMap(l -> Arrays.stream(l.split("\\|")[1].strip().split(", ")))
            .toList();
    assertThat(listed).containsExactlyInAnyOrderElementsOf(nextLoad(c).keySet());
  }
}
