package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Answers to submissions while the store does not serve the owner, or no owner serves. */
class StoreOutageAnswersTest {

  private static final StepSpec ONE_TASK =
      StepSpecs.of(1, new ResourceVector(0, 0, 1_000, 10, 0), 400);

  private static WorkflowCluster cluster(long seed, int instances) {
    WorkflowCluster c = new WorkflowCluster(seed, instances);
    c.time.runFor(2_000);
    return c;
  }

  private static WorkflowAnswer await(
      WorkflowCluster c, CompletableFuture<WorkflowAnswer> f, long withinMillis) {
    assertThat(c.time.runUntil(f::isDone, withinMillis)).isTrue();
    return f.join();
  }

  // While the store did not accept writes, submissions entered the journal and were answered as
  // uncertain at their deadlines, although a caller could have sent them again.
  @Test
  void submissionIsRefusedBeforeItEntersTheJournalWhileStoreAcceptsNoWrites() {
    WorkflowCluster c = cluster(30, 2);
    c.store.lostAnswerFraction = 1;
    final CompletableFuture<WorkflowAnswer> first = c.submit(c.anyNode(), "first", ONE_TASK);
    c.time.runFor(400);
    WorkflowAnswer refused = await(c, c.submit(c.anyNode(), "second", ONE_TASK), 100);
    assertThat(refused.status()).isEqualTo(WorkflowStatus.REFUSED);
    assertThat(refused.retryMillis()).isBetween(300L, 5_000L);
    assertThat(await(c, c.read(c.anyNode(), "first"), 100).status()).isEqualTo(WorkflowStatus.OK);
    c.store.lostAnswerFraction = 0;
    assertThat(await(c, first, 2_600).status()).isEqualTo(WorkflowStatus.OK);
    c.time.runFor(5_000);
    assertThat(await(c, c.read(c.anyNode(), "second"), 1_000).status())
        .isEqualTo(WorkflowStatus.UNKNOWN_WORKFLOW);
    assertThat(c.reports).anyMatch(r -> "the store does not accept writes".equals(why(r)));
  }

  // A single answer of the store that was lost made an owner refuse, although the store went on to
  // accept writes and the batch was stored a moment later (random faults: 2,297 of 16,000 refused,
  // 1,970 fewer accepted than without refusals).
  @Test
  void submissionIsAcceptedWhileOnlyOneAnswerOfTheStoreIsLost() {
    WorkflowCluster c = cluster(34, 1);
    c.store.lostAnswerFraction = 1;
    c.submit(c.anyNode(), "w0", ONE_TASK);
    c.time.runFor(10);
    c.store.lostAnswerFraction = 0;
    for (int i = 1; i <= 3; i++) {
      c.time.runFor(100);
      c.submit(c.anyNode(), "w" + i, ONE_TASK);
    }
    c.time.runFor(25);
    assertThat(await(c, c.submit(c.anyNode(), "w", ONE_TASK), 1_000).status())
        .isEqualTo(WorkflowStatus.OK);
  }

  private static Object why(WorkflowCluster.Report r) {
    return r.topic() == DispatchTopic.REQUEST_REFUSED ? r.fields().get("why") : "";
  }

  // Guards against a refusal of an id whose record may already be in the store.
  @Test
  void repeatedSubmissionWaitsForTheBatchOfTheFirst() {
    WorkflowCluster c = cluster(31, 2);
    c.store.lostAnswerFraction = 1;
    CompletableFuture<WorkflowAnswer> first = c.submit(c.anyNode(), "w", ONE_TASK);
    c.time.runFor(500);
    CompletableFuture<WorkflowAnswer> repeated = c.submit(c.anyNode(), "w", ONE_TASK);
    c.time.runFor(1_000);
    assertThat(first).isNotDone();
    assertThat(repeated).isNotDone();
    c.store.lostAnswerFraction = 0;
    assertThat(await(c, first, 1_500).status()).isEqualTo(WorkflowStatus.OK);
    assertThat(await(c, repeated, 1_500).status()).isEqualTo(WorkflowStatus.OK);
  }

  // A repeated submission of a workflow that had long been stored waited for the records of others.
  @Test
  void repeatedSubmissionOfStoredWorkflowIsAcceptedWithoutTheStore() {
    WorkflowCluster c = cluster(32, 2);
    assertThat(await(c, c.submit(c.anyNode(), "w", ONE_TASK), 1_000).status())
        .isEqualTo(WorkflowStatus.OK);
    c.time.runFor(1_000);
    c.store.lostAnswerFraction = 1;
    c.submit(c.anyNode(), "other", ONE_TASK);
    c.time.runFor(500);
    assertThat(await(c, c.submit(c.anyNode(), "w", ONE_TASK), 100).status())
        .isEqualTo(WorkflowStatus.OK);
  }

  // Guards against an owner that refuses after it was replaced: the next owner may have accepted
  // the id from the same caller.
  @Test
  void replacedOwnerRefusesNothingThatTheNextOwnerAccepted() {
    for (long seed = 40; seed < 50; seed++) {
      WorkflowCluster c = cluster(seed, 3);
      WorkflowCluster.Node former = c.owner().orElseThrow();
      c.store.refusedCallers.add(former.name);
      c.cutInstances.add(former.name);
      final CompletableFuture<WorkflowAnswer> entered = c.submit(former, "entered", ONE_TASK);
      assertThat(
              c.time.runUntil(
                  () -> c.nodes.values().stream().anyMatch(n -> isNextOwner(n, former)), 4_000))
          .isTrue();
      WorkflowCluster.Node next =
          c.nodes.values().stream().filter(n -> isNextOwner(n, former)).findFirst().orElseThrow();
      assertThat(await(c, c.submit(next, "w", ONE_TASK), 1_000).status())
          .isEqualTo(WorkflowStatus.OK);
      CompletableFuture<WorkflowAnswer> atFormer = c.submit(former, "w", ONE_TASK);
      c.time.runFor(1_000);
      assertThat(atFormer).isNotDone();
      c.store.refusedCallers.clear();
      c.cutInstances.clear();
      assertThat(await(c, atFormer, 2_000).status()).isEqualTo(WorkflowStatus.OK);
      assertThat(await(c, entered, 3_000).status())
          .isIn(WorkflowStatus.OK, WorkflowStatus.UNCERTAIN);
    }
  }

  private static boolean isNextOwner(WorkflowCluster.Node n, WorkflowCluster.Node former) {
    return n != former && n.instance.isOwner();
  }

  // While no owner served, requests waited in the queue of the next owner, and were answered as
  // uncertain although nothing had handled them.
  @Test
  void requestThatWaitedForTheNextOwnerOnlyIsRefused() {
    WorkflowCluster c = cluster(33, 3);
    c.store.remove("op/config");
    c.kill(c.owner().orElseThrow().name);
    c.time.runFor(1_000);
    assertThat(c.owner()).isEmpty();
    for (WorkflowCluster.Node n : c.nodes.values()) {
      assertThat(await(c, c.submit(n, "w-" + n.name, ONE_TASK), 3_000).status())
          .isEqualTo(WorkflowStatus.REFUSED);
    }
    c.store.put("op/config", "");
    c.time.runFor(2_000);
    for (WorkflowCluster.Node n : c.nodes.values()) {
      assertThat(await(c, c.read(n, "w-" + n.name), 1_000).status())
          .isEqualTo(WorkflowStatus.UNKNOWN_WORKFLOW);
    }
  }
}
