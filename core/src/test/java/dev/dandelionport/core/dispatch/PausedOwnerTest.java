package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowRecord;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against orders of an owner that was paused until its lease had expired. A runner that has
 * restarted since then does not know the fencing token of the next owner, so it accepts them.
 */
class PausedOwnerTest {

  private static final StepSpec ONE_TASK =
      StepSpecs.of(1, new ResourceVector(0, 0, 1_000, 10, 0), 400);

  // The order in which a resumed process handles what it missed differs between seeds.
  @ParameterizedTest
  @ValueSource(longs = {20, 21, 22, 23, 24, 25, 26, 27, 28, 29})
  void pausedOwnerStartsNothingOnRestartedRunners(long seed) {
    assertNothingStartsAfterPause(seed, FakeProcess::pause);
  }

  @ParameterizedTest
  @ValueSource(longs = {20, 21, 22, 23, 24, 25, 26, 27, 28, 29})
  void suspendedOwnerWhoseClockStoodStillStartsNothingOnRestartedRunners(long seed) {
    assertNothingStartsAfterPause(seed, FakeProcess::suspend);
  }

  // The start waits for the renewal of the lease; it must be neither lost nor repeated.
  @Test
  void startOfBrieflyPausedOwnerIsSentOnceItsLeaseIsRenewed() {
    WorkflowCluster c = new WorkflowCluster(21, 1);
    c.time.runFor(2_000);
    WorkflowCluster.Node owner = c.owner().orElseThrow();
    final CompletableFuture<WorkflowAnswer> answer =
        submitAndPause(c, owner, FakeProcess::suspend, 600);
    owner.process.resume();
    c.time.runFor(2_000);
    assertThat(answer.join().status()).isEqualTo(WorkflowStatus.OK);
    assertThat(c.runners.starts).isEqualTo(1);
    assertThat(c.runners.violations).isEmpty();
  }

  private static void assertNothingStartsAfterPause(long seed, Consumer<FakeProcess> pause) {
    WorkflowCluster c = new WorkflowCluster(seed, 3);
    c.time.runFor(2_000);
    WorkflowCluster.Node owner = c.owner().orElseThrow();
    submitAndPause(c, owner, pause, 4_000);
    assertThat(c.nodes.values()).anyMatch(n -> n != owner && n.instance.isOwner());
    int starts = c.runners.starts;
    assertThat(starts).isEqualTo(1);
    for (int i = 0; i < 6; i++) {
      c.runners.crash("r" + i);
    }
    owner.process.resume();
    c.time.runFor(2_000);
    assertThat(c.runners.violations).isEmpty();
    assertThat(c.runners.starts).isEqualTo(starts);
  }

  /** Pauses the owner when the record of the start is stored, before it receives the answer. */
  private static CompletableFuture<WorkflowAnswer> submitAndPause(
      WorkflowCluster c, WorkflowCluster.Node owner, Consumer<FakeProcess> pause, long millis) {
    AtomicBoolean paused = new AtomicBoolean();
    c.store.committed =
        t -> {
          if (!paused.get() && storesStart(t)) {
            paused.set(true);
            pause.accept(owner.process);
          }
        };
    CompletableFuture<WorkflowAnswer> answer = c.submit(owner, "w", ONE_TASK);
    c.time.runFor(millis);
    assertThat(paused).isTrue();
    return answer;
  }

  private static boolean storesStart(SharedStore.Transaction t) {
    return t.writes().stream()
        .filter(w -> StoreKeys.isBatch(w.key()))
        .flatMap(w -> WorkflowCodec.decode(w.value()).stream())
        .anyMatch(r -> r instanceof WorkflowRecord.Intended);
  }
}
