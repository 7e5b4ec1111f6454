package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.WorkflowState;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Answers to readings and cancellations at an owner that another instance may have replaced. */
class ReplacedOwnerAnswersTest {

  private static final StepSpec LONG_TASK =
      StepSpecs.longRunning(1, new ResourceVector(0, 0, 1_000, 10, 0));

  /** Age that the protocol allows for a count, in milliseconds. */
  private static final long COUNT_AGE_MILLIS = 2_000;

  private static LongStream seeds() {
    return LongStream.rangeClosed(60, 69);
  }

  private static WorkflowCluster cluster(long seed) {
    WorkflowCluster c = new WorkflowCluster(seed, 3);
    c.time.runFor(2_000);
    return c;
  }

  private static WorkflowAnswer await(
      WorkflowCluster c, CompletableFuture<WorkflowAnswer> f, long withinMillis) {
    assertThat(c.time.runUntil(f::isDone, withinMillis)).isTrue();
    return f.join();
  }

  private static WorkflowStatus status(
      WorkflowCluster c, CompletableFuture<WorkflowAnswer> f, long withinMillis) {
    return await(c, f, withinMillis).status();
  }

  private static boolean isNextOwner(WorkflowCluster.Node n, WorkflowCluster.Node former) {
    return n != former && n.instance.isOwner();
  }

  private static WorkflowCluster.Node awaitNextOwner(WorkflowCluster c, WorkflowCluster.Node f) {
    assertThat(
            c.time.runUntil(
                () -> c.nodes.values().stream().anyMatch(n -> isNextOwner(n, f)), 4_000))
        .isTrue();
    return c.nodes.values().stream().filter(n -> isNextOwner(n, f)).findFirst().orElseThrow();
  }

  /** Cuts an instance off from the store and from the other instances. */
  private static void cut(WorkflowCluster c, WorkflowCluster.Node n) {
    c.store.refusedCallers.add(n.name);
    c.cutInstances.add(n.name);
  }

  private static void heal(WorkflowCluster c) {
    c.store.refusedCallers.clear();
    c.cutInstances.clear();
  }

  // An owner that was cut off answered 410 to a reading and a cancelling of its successor's
  // workflow.
  @ParameterizedTest
  @MethodSource("seeds")
  void ownerThatWasCutOffDeniesNoWorkflowOfTheNextOwner(long seed) {
    WorkflowCluster c = cluster(seed);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    cut(c, former);
    WorkflowCluster.Node next = awaitNextOwner(c, former);
    assertThat(status(c, c.submit(next, "w", LONG_TASK), 1_000)).isEqualTo(WorkflowStatus.OK);
    final CompletableFuture<WorkflowAnswer> read = c.read(former, "w");
    final CompletableFuture<WorkflowAnswer> cancel = c.cancel(former, "w");
    c.time.runFor(500);
    assertThat(read).isNotDone();
    assertThat(cancel).isNotDone();
    heal(c);
    assertThat(status(c, read, 2_000)).isEqualTo(WorkflowStatus.OK);
    assertThat(status(c, cancel, 2_000)).isEqualTo(WorkflowStatus.OK);
    assertThat(await(c, c.read(next, "w"), 500).state()).isEqualTo(WorkflowState.CANCELLED);
  }

  // An owner that the store turned away asked another instance to claim, and denied its workflows
  // until its own lease had expired.
  @ParameterizedTest
  @MethodSource("seeds")
  void ownerThatAskedForReplacementDeniesNoWorkflowOfTheNextOwner(long seed) {
    WorkflowCluster c = cluster(seed);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    c.store.refusedCallers.add(former.name);
    WorkflowCluster.Node next = awaitNextOwner(c, former);
    List<CompletableFuture<WorkflowAnswer>> answers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      String id = "w" + i;
      assertThat(status(c, c.submit(next, id, LONG_TASK), 1_000)).isEqualTo(WorkflowStatus.OK);
      answers.add(c.cancel(former, id));
      answers.add(c.read(former, id));
    }
    for (CompletableFuture<WorkflowAnswer> a : answers) {
      assertThat(status(c, a, 3_000)).isEqualTo(WorkflowStatus.OK);
    }
  }

  // An owner that had offered its workflows to a larger instance and then lost the store denied the
  // workflows of its successor until two renewals had failed.
  @ParameterizedTest
  @MethodSource("seeds")
  void ownerThatOfferedItsWorkflowsDeniesNoneOfTheNextOwner(long seed) {
    WorkflowCluster c = new WorkflowCluster(seed, 2, Map.of("large", 9_000L));
    c.time.runFor(2_000);
    final WorkflowCluster.Node former = c.owner().orElseThrow();
    c.store.committed =
        t -> {
          if (writesOwnerKey(t)) {
            c.store.refusedCallers.add(former.name);
          }
        };
    c.start("large");
    assertThat(c.time.runUntil(() -> isNextOwner(c.nodes.get("large"), former), 20_000)).isTrue();
    WorkflowCluster.Node next = c.nodes.get("large");
    assertThat(status(c, c.submit(next, "w", LONG_TASK), 1_000)).isEqualTo(WorkflowStatus.OK);
    assertThat(former.instance.isOwner()).isTrue();
    final CompletableFuture<WorkflowAnswer> read = c.read(former, "w");
    final CompletableFuture<WorkflowAnswer> cancel = c.cancel(former, "w");
    assertThat(status(c, read, 2_900)).isEqualTo(WorkflowStatus.OK);
    assertThat(status(c, cancel, 2_900)).isEqualTo(WorkflowStatus.OK);
  }

  private static boolean writesOwnerKey(SharedStore.Transaction t) {
    return t.writes().stream().anyMatch(w -> w.key().equals(StoreKeys.OWNER));
  }

  // A count of an owner that was cut off could be older than the protocol allows.
  @ParameterizedTest
  @MethodSource("seeds")
  void ownerThatWasCutOffGivesNoOutdatedCount(long seed) {
    WorkflowCluster c = cluster(seed);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    confirmConfiguration(c);
    cut(c, former);
    c.time.runFor(500);
    assertThat(status(c, c.read(former, ""), 50)).isEqualTo(WorkflowStatus.OK);
    c.time.runFor(COUNT_AGE_MILLIS - 400);
    final CompletableFuture<WorkflowAnswer> count = c.read(former, "");
    c.time.runFor(300);
    assertThat(count).isNotDone();
    heal(c);
    assertThat(status(c, count, 2_000)).isEqualTo(WorkflowStatus.OK);
  }

  /** Changes the configuration twice, so that the answer to a recent call confirms it. */
  private static void confirmConfiguration(WorkflowCluster c) {
    for (int i = 0; i < 2; i++) {
      c.store.put("op/config", "");
      c.time.runFor(100);
    }
  }

  // Guards against an outage of the store for all that takes states from callers that are known.
  @Test
  void knownStateIsReadWhileTheStoreServesNobody() {
    WorkflowCluster c = cluster(60);
    assertThat(status(c, c.submit(c.anyNode(), "w", LONG_TASK), 1_000))
        .isEqualTo(WorkflowStatus.OK);
    c.time.runFor(500);
    c.store.refusedCallers.addAll(c.nodes.keySet());
    c.time.runFor(1_200);
    WorkflowCluster.Node owner = c.owner().orElseThrow();
    assertThat(await(c, c.read(owner, "w"), 50).state()).isEqualTo(WorkflowState.RUNNING);
    assertThat(status(c, c.read(owner, "other"), 3_000)).isEqualTo(WorkflowStatus.REFUSED);
  }

  // A cancelling that came later than the configuration could be used was refused by an owner that
  // had been replaced, although the next owner could have carried it out.
  @ParameterizedTest
  @MethodSource("seeds")
  void ownerThatWasCutOffForLongRefusesNoCancellation(long seed) {
    WorkflowCluster c = cluster(seed);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    cut(c, former);
    WorkflowCluster.Node next = awaitNextOwner(c, former);
    assertThat(status(c, c.submit(next, "w", LONG_TASK), 1_000)).isEqualTo(WorkflowStatus.OK);
    c.time.runFor(3_500);
    final CompletableFuture<WorkflowAnswer> cancel = c.cancel(former, "w");
    c.time.runFor(500);
    assertThat(cancel).isNotDone();
    heal(c);
    assertThat(status(c, cancel, 2_000)).isEqualTo(WorkflowStatus.OK);
  }
}
