package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.TaskKey;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Answers to a submission whose first attempt was accepted but not answered. */
class RejectionAfterAcceptanceTest {

  private static final String ID = "w";
  private static final TaskKey TASK = new TaskKey(ID, 0, 0, 0);
  private static final StepSpec ONE_TASK =
      StepSpecs.of(1, new ResourceVector(0, 0, 1_000, 100, 0), 400);

  private final PlatformCluster cell = new PlatformCluster(1);

  /**
   * Submits through an instance that is not the owner; the owner's process is killed when the
   * record is stored, before it can answer, and the configuration changes at the same time.
   */
  private CompletableFuture<WorkflowAnswer> submitToOwnerThatIsKilled(
      String queue, Runnable changeConfiguration) {
    cell.time.runFor(2_000);
    WorkflowCluster.Node owner = cell.cluster.owner().orElseThrow();
    WorkflowCluster.Node other =
        cell.cluster.nodes.values().stream().filter(n -> n != owner).findFirst().orElseThrow();
    cell.store.committed =
        t -> {
          cell.store.committed = x -> {};
          cell.time.afterNanos(
              0,
              () -> {
                cell.cluster.kill(owner.name);
                changeConfiguration.run();
              });
        };
    return cell.submit(other, ID, queue, "b", List.of(ONE_TASK));
  }

  private void assertIsNotRejected(CompletableFuture<WorkflowAnswer> answer) {
    assertThat(cell.time.runUntil(answer::isDone, 3_000)).isTrue();
    assertThat(answer.join().status()).isEqualTo(WorkflowStatus.UNCERTAIN);
  }

  private void assertRuns() {
    assertThat(cell.time.runUntil(() -> cell.runners.isPresent(TASK), 10_000)).isTrue();
  }

  // A caller whose key was withdrawn between two attempts got 401 for a workflow that ran.
  @Test
  void submissionThatWasAcceptedIsNotRejectedForItsWithdrawnKey() {
    CompletableFuture<WorkflowAnswer> answer =
        submitToOwnerThatIsKilled(
            PlatformCluster.URGENT,
            () -> {
              cell.accountsWithoutKey.add("b");
              cell.configure(true, PlatformCluster.CEILING);
            });
    assertRuns();
    assertIsNotRejected(answer);
  }

  // A caller whose queue was removed between two attempts got 404 for a workflow that ran.
  @Test
  void submissionThatWasAcceptedIsNotRejectedForItsRemovedQueue() {
    CompletableFuture<WorkflowAnswer> answer =
        submitToOwnerThatIsKilled(
            PlatformCluster.BATCH, () -> cell.configure(false, PlatformCluster.CEILING));
    assertIsNotRejected(answer);
    cell.configure(true, PlatformCluster.CEILING);
    assertRuns();
  }
}
