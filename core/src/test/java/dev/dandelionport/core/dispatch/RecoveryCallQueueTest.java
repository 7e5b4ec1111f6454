package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class RecoveryCallQueueTest {

  private final VirtualTime time = new VirtualTime(1);
  private final Shard shard = StoreContext.shard();
  private final RecoveryCallQueue queue =
      new RecoveryCallQueue(StoreContext.of(null, new FakeProcess(time)), shard);

  private CompletableFuture<WorkflowAnswer> add(String path, long waitMillis) {
    WorkflowCall c = new WorkflowCall(WorkflowCallKind.SUBMIT, "h", path, "", new byte[0]);
    return shard.call(() -> queue.add(c.withWait(waitMillis)));
  }

  private List<String> drainedPaths() {
    List<String> paths = new ArrayList<>();
    shard.run(() -> queue.drainBatch((c, answer) -> paths.add(c.path())));
    return paths;
  }

  // Calls waited until their senders had given up; these could not tell that nothing had happened,
  // and the calls were executed later.
  @Test
  void callIsRejectedBeforeItsSenderGivesUp() {
    CompletableFuture<WorkflowAnswer> answer = add("/a", 600);
    add("/b", 3_000);
    assertThat(time.runUntil(answer::isDone, 550)).isTrue();
    assertThat(answer.join().status()).isEqualTo(WorkflowStatus.NOT_OWNER);
    assertThat(drainedPaths()).containsExactly("/b");
  }

  // Guards against a queue that holds calls which cannot be answered in time.
  @Test
  void callWhoseSenderWaitsTooShortIsRejectedAtOnce() {
    assertThat(add("/a", 100)).isDone();
    assertThat(drainedPaths()).isEmpty();
  }

  // Guards against calls that miss their deadlines behind others that could wait.
  @Test
  void callsAreDrainedByDeadline() {
    add("/late", 900);
    add("/soon", 400);
    add("/unknown", 0);
    assertThat(drainedPaths()).containsExactly("/soon", "/late", "/unknown");
  }
}
