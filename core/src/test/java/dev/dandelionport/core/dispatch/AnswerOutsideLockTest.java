package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.testing.StepSpecs;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;

/** What depends on an answer, such as its report and the HTTP response, runs without the lock. */
class AnswerOutsideLockTest {

  /** Time in which another thread gets a free lock, in seconds. */
  private static final long LOCK_SECONDS = 5;

  private static boolean isLocked(WorkflowCluster.Node n) {
    try {
      CompletableFuture.supplyAsync(n.instance::isOwner).get(LOCK_SECONDS, TimeUnit.SECONDS);
      return false;
    } catch (TimeoutException e) {
      return true;
    } catch (InterruptedException | ExecutionException e) {
      throw new AssertionError(e);
    }
  }

  // An acceptance by the owner that the client asked was reported and answered under the lock.
  @Test
  void acceptanceByTheLocalOwnerIsGivenWithoutItsLock() {
    WorkflowCluster c = new WorkflowCluster(1, 1);
    c.time.runFor(2_000);
    WorkflowCluster.Node owner = c.owner().orElseThrow();
    CompletableFuture<WorkflowAnswer> answer =
        c.submit(owner, "w", StepSpecs.of(1, new ResourceVector(0, 0, 1_000, 10, 0), 400));
    CompletableFuture<Boolean> locked = answer.thenApply(a -> isLocked(owner));
    assertThat(c.time.runUntil(locked::isDone, 1_000)).isTrue();
    assertThat(locked.join()).isFalse();
  }
}
