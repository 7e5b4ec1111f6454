package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.Recurrence;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowSpec;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an owner that refuses an id after it was paused and replaced, although the next
 * owner has accepted the id.
 */
class PausedOwnerAnswersTest {

  private static final StepSpec ONE_TASK =
      StepSpecs.of(1, new ResourceVector(0, 0, 1_000, 10, 0), 400);

  // The order in which a resumed process handles what it missed differs between seeds.
  @ParameterizedTest
  @ValueSource(longs = {20, 21, 22, 23, 24, 25, 26, 27, 28, 29})
  void pausedOwnerDoesNotRefuseWhatTheNextOneAccepted(long seed) {
    assertRefusesNothingAfterPause(seed, FakeProcess::pause);
  }

  @ParameterizedTest
  @ValueSource(longs = {20, 21, 22, 23, 24, 25, 26, 27, 28, 29})
  void suspendedOwnerDoesNotRefuseWhatTheNextOneAccepted(long seed) {
    assertRefusesNothingAfterPause(seed, FakeProcess::suspend);
  }

  private static void assertRefusesNothingAfterPause(long seed, Consumer<FakeProcess> pause) {
    WorkflowCluster c = new WorkflowCluster(seed, 3);
    c.time.runFor(2_000);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    c.store.lostAnswerFraction = 1;
    c.submit(former, "first", ONE_TASK);
    c.time.runFor(400);
    assertThat(status(c, send(former, "refused"))).isEqualTo(WorkflowStatus.REFUSED);
    pause.accept(former.process);
    c.store.lostAnswerFraction = 0;
    c.time.runFor(4_000);
    WorkflowCluster.Node next =
        c.nodes.values().stream()
            .filter(n -> n != former && n.instance.isOwner())
            .findFirst()
            .orElseThrow();
    CompletableFuture<WorkflowAnswer> accepted = c.submit(next, "w", ONE_TASK);
    assertThat(c.time.runUntil(accepted::isDone, 1_000)).isTrue();
    assertThat(accepted.join().status()).isEqualTo(WorkflowStatus.OK);
    CompletableFuture<PeerMessage> late = send(former, "w");
    former.process.resume();
    assertThat(status(c, late)).isNotEqualTo(WorkflowStatus.REFUSED);
  }

  private static WorkflowStatus status(WorkflowCluster c, CompletableFuture<PeerMessage> answer) {
    assertThat(c.time.runUntil(answer::isDone, 2_000)).isTrue();
    return ((WorkflowAnswer) answer.join()).status();
  }

  /** Sends a submission in one message, which a paused process receives when it is resumed. */
  private static CompletableFuture<PeerMessage> send(WorkflowCluster.Node to, String id) {
    WorkflowSpec spec =
        new WorkflowSpec("", "", "", "p", List.of(ONE_TASK), Recurrence.ONCE, false);
    WorkflowCall call =
        new WorkflowCall(
            WorkflowCallKind.SUBMIT, "h", "/q/" + id, "", WorkflowCodec.encodeSpec(spec));
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    to.process.run(() -> to.instance.receive(call.withWait(900)).thenAccept(answer::complete));
    return answer;
  }
}
