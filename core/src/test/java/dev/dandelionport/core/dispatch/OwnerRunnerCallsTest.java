package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import java.util.Collections;
import org.junit.jupiter.api.Test;

/** The owner's calls to runners that are slow, unresponsive, restarted or gone. */
class OwnerRunnerCallsTest {

  private static StepSpec step(int tasks) {
    return StepSpecs.of(tasks, new ResourceVector(0, 0, 1_000, 10, 0), 400);
  }

  // A new owner opened a connection for each start of a batch, and was busy with that for seconds.
  @Test
  void concurrentOrdersToOneRunnerAreBounded() {
    WorkflowCluster c = new WorkflowCluster(7, 2);
    c.time.runFor(2_000);
    assertThat(c.await(c.submit(c.anyNode(), "w", step(20))).status()).isEqualTo(WorkflowStatus.OK);
    c.time.runFor(2_000);
    assertThat(c.isCompleted("w")).isTrue();
    assertThat(c.runners.maxConcurrentOrders).isBetween(2, 3);
  }

  // Guards against calls to an unresponsive runner that extend its leases without end, so that a
  // task on it is never started elsewhere.
  @Test
  void workOnPermanentlyUnresponsiveRunnerIsRestartedElsewhere() {
    WorkflowCluster c = new WorkflowCluster(6, 2);
    c.time.runFor(2_000);
    assertThat(c.await(c.submit(c.anyNode(), "w", step(6))).status()).isEqualTo(WorkflowStatus.OK);
    assertThat(c.time.runUntil(() -> c.runners.busyRunners().size() == 2, 1_000)).isTrue();
    c.time.runFor(30);
    c.runners.cutLinks.add(c.runners.busyRunners().get(0));
    c.time.runFor(9_000);
    assertThat(c.isCompleted("w")).isTrue();
    assertThat(c.runners.violations).isEmpty();
  }

  // Repeated stops to an unresponsive runner were queued ahead of each other and of starts: the
  // queue grew, and the oldest stops were not sent again.
  @Test
  void stopsToUnresponsiveRunnerAreRepeatedInTurn() {
    WorkflowCluster c = new WorkflowCluster(10, 1);
    c.time.runFor(2_000);
    for (int i = 1; i < 6; i++) {
      c.store.remove("runners/r" + i);
    }
    c.time.runFor(1_000);
    assertThat(c.await(c.submit(c.anyNode(), "w", step(4))).status()).isEqualTo(WorkflowStatus.OK);
    assertThat(c.time.runUntil(() -> c.runners.starts == 4, 300)).isTrue();
    c.time.runFor(50);
    c.runners.cutLinks.add("r0");
    assertThat(c.await(c.cancel(c.anyNode(), "w")).status()).isEqualTo(WorkflowStatus.OK);
    c.time.runFor(4_000);
    assertThat(c.runners.stopsSent).hasSize(4);
    int maxStops = Collections.max(c.runners.stopsSent.values());
    assertThat(Collections.min(c.runners.stopsSent.values())).isBetween(maxStops / 2, maxStops);
    c.time.runFor(2_000);
    assertThat(c.reports)
        .filteredOn(r -> r.topic() == DispatchTopic.OWNER_LOAD)
        .allSatisfy(r -> assertThat((int) r.fields().get("ordersMost")).isLessThanOrEqualTo(4));
  }

  // Repeated stops blocked a queued start until all leases had expired: its task waited on an
  // unresponsive runner although other runners had free capacity.
  @Test
  void startQueuedBehindStopsToUnresponsiveRunnerIsRejected() {
    WorkflowCluster c = new WorkflowCluster(11, 1);
    c.time.runFor(2_000);
    for (int i = 1; i < 6; i++) {
      c.store.remove("runners/r" + i);
    }
    c.time.runFor(1_000);
    StepSpec small = StepSpecs.of(6, new ResourceVector(0, 0, 500, 10, 0), 400);
    assertThat(c.await(c.submit(c.anyNode(), "w", small)).status()).isEqualTo(WorkflowStatus.OK);
    assertThat(c.time.runUntil(() -> c.runners.starts == 6, 300)).isTrue();
    c.time.runFor(50);
    c.runners.cutLinks.add("r0");
    assertThat(c.await(c.cancel(c.anyNode(), "w")).status()).isEqualTo(WorkflowStatus.OK);
    assertThat(c.await(c.submit(c.anyNode(), "x", step(1))).status()).isEqualTo(WorkflowStatus.OK);
    c.putRunner("r1");
    c.time.runFor(3_000);
    assertThat(c.isCompleted("x")).isTrue();
  }

  // A runner that restarted while its ends waited for the journal was polled without a pause until
  // its new incarnation had an end of its own.
  @Test
  void restartedRunnerWithPendingEndsIsNotPolledWithoutPause() {
    WorkflowCluster c = new WorkflowCluster(12, 1);
    c.time.runFor(2_000);
    assertThat(c.await(c.submit(c.anyNode(), "w", step(1))).status()).isEqualTo(WorkflowStatus.OK);
    assertThat(c.time.runUntil(() -> c.runners.busyRunners().size() == 1, 300)).isTrue();
    String runner = c.runners.busyRunners().get(0);
    c.store.lostAnswerFraction = 1;
    c.time.runFor(500);
    c.runners.crash(runner);
    c.time.runFor(1_500);
    c.store.lostAnswerFraction = 0;
    c.time.runFor(4_000);
    assertThat(c.isCompleted("w")).isTrue();
    c.runners.holdsSent.clear();
    c.time.runFor(1_000);
    assertThat(c.runners.holdsSent.getOrDefault(runner, 0)).isLessThan(10);
  }

  // A runner that had permanently left while a task ran on it was polled every second for as long
  // as the owner served.
  @Test
  void removedRunnerIsNotPolledAfterItsLeasesExpired() {
    WorkflowCluster c = new WorkflowCluster(13, 1);
    c.time.runFor(2_000);
    assertThat(c.await(c.submit(c.anyNode(), "w", step(1))).status()).isEqualTo(WorkflowStatus.OK);
    assertThat(c.time.runUntil(() -> c.runners.busyRunners().size() == 1, 300)).isTrue();
    String runner = c.runners.busyRunners().get(0);
    c.runners.cutLinks.add(runner);
    c.store.remove("runners/" + runner);
    c.time.runFor(10_000);
    assertThat(c.isCompleted("w")).isTrue();
    c.runners.holdsSent.clear();
    c.time.runFor(5_000);
    assertThat(c.runners.holdsSent).doesNotContainKey(runner);
    c.runners.cutLinks.clear();
    for (int i = 0; i < 6; i++) {
      c.store.remove("runners/r" + i);
    }
    c.putRunner(runner);
    assertThat(c.await(c.submit(c.anyNode(), "x", step(1))).status()).isEqualTo(WorkflowStatus.OK);
    c.time.runFor(2_000);
    assertThat(c.isCompleted("x")).isTrue();
  }

  // A waiting watch call was mistaken for a store outage, during which expired entries stay valid,
  // so runners that had permanently left were given work.
  @Test
  void runnerRemovedFromStoreGetsNoWork() {
    WorkflowCluster c = new WorkflowCluster(9, 2);
    c.time.runFor(2_000);
    for (int i = 0; i < 5; i++) {
      c.store.remove("runners/r" + i);
    }
    c.time.runFor(2_000);
    assertThat(c.await(c.submit(c.anyNode(), "w", step(6))).status()).isEqualTo(WorkflowStatus.OK);
    for (int i = 0; i < 20; i++) {
      c.time.runFor(100);
      assertThat(c.runners.busyRunners()).isSubsetOf("r5");
    }
    assertThat(c.isCompleted("w")).isTrue();
  }

  // An entry that the decoder did not expect ended the watch, so no later change was followed.
  @Test
  void oddEntryDoesNotStopTheOwnerFromFollowingTheOthers() {
    WorkflowCluster c = new WorkflowCluster(14, 2);
    c.time.runFor(2_000);
    c.store.put("runners/" + WorkflowCluster.ODD_RUNNER, "");
    c.time.runFor(1_000);
    for (int i = 0; i < 5; i++) {
      c.store.remove("runners/r" + i);
    }
    c.time.runFor(2_000);
    assertThat(c.await(c.submit(c.anyNode(), "w", step(2))).status()).isEqualTo(WorkflowStatus.OK);
    c.time.runFor(100);
    assertThat(c.runners.busyRunners()).containsExactly("r5");
    c.time.runFor(2_000);
    assertThat(c.isCompleted("w")).isTrue();
  }

  // An idle runner whose entry expired and returned was never polled again, and never got work.
  @Test
  void idleRunnerGetsWorkAgainAfterItsEntryReturns() {
    WorkflowCluster c = new WorkflowCluster(8, 2);
    c.time.runFor(2_000);
    for (int i = 0; i < 6; i++) {
      c.store.remove("runners/r" + i);
    }
    c.time.runFor(3_000);
    for (int i = 0; i < 6; i++) {
      c.putRunner("r" + i);
    }
    c.time.runFor(2_000);
    assertThat(c.await(c.submit(c.anyNode(), "w", step(6))).status()).isEqualTo(WorkflowStatus.OK);
    c.time.runFor(2_000);
    assertThat(c.isCompleted("w")).isTrue();
    assertThat(c.runners.violations).isEmpty();
  }
}
