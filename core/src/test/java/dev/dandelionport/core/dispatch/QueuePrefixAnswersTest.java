package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.testing.VirtualTime;
import dev.dandelionport.core.workflow.ClusterPolicy;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.Recurrence;
import dev.dandelionport.core.workflow.RunnerDescription;
import dev.dandelionport.core.workflow.StepSpec;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Answers for a queue whose prefix does not end with a slash. */
class QueuePrefixAnswersTest {

  private static final StepSpec ONE_TASK =
      StepSpecs.of(1, new ResourceVector(0, 0, 1_000, 10, 0), 400);

  /** Schema with one open queue, whose prefix is not a whole part of the path, and no runners. */
  private static final class PrefixSchema implements StoreSchema {
    @Override
    public String runnerPrefix() {
      return "runners/";
    }

    @Override
    public String operatorPrefix() {
      return "op/";
    }

    @Override
    public Optional<RunnerDescription> decodeRunner(Entry e) {
      return Optional.empty();
    }

    @Override
    public Optional<ClusterPolicy> decodePolicy(Entry e) {
      Queue q = new Queue("q", "h", "/jobs-", 3_000, 250, 0, "svc", 3, 2, Optional.empty(), true);
      return Optional.of(new ClusterPolicy(e.revision(), Map.of("q", q), Map.of(), Map.of()));
    }

    @Override
    public Optional<String> decodeClosedDomain(Entry e) {
      return Optional.empty();
    }
  }

  private final VirtualTime time = new VirtualTime(1);
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final WorkflowCluster cluster = createCluster();

  private WorkflowCluster createCluster() {
    store.put("op/config", "");
    return new WorkflowCluster(
        time,
        store,
        new WorkflowCluster.Dependencies(
            (n, process) -> null, (n, process) -> null, new PrefixSchema(), r -> {}),
        1);
  }

  private WorkflowStatus submit(String id) {
    WorkflowSpec spec =
        new WorkflowSpec("", "", "", "p", List.of(ONE_TASK), Recurrence.ONCE, false);
    CompletableFuture<WorkflowAnswer> answer =
        cluster.call(
            cluster.anyNode(),
            WorkflowCallKind.SUBMIT,
            "/jobs-" + id,
            "",
            WorkflowCodec.encodeSpec(spec));
    assertThat(time.runUntil(answer::isDone, 3_000)).isTrue();
    return answer.join().status();
  }

  // An accepted id was refused while the configuration was not confirmed, because the whole last
  // part of the path was taken as the id.
  @Test
  void acceptedIdIsNotRefusedWhileTheConfigurationIsNotConfirmed() {
    time.runFor(4_000);
    assertThat(submit("0123456789abcdef")).isEqualTo(WorkflowStatus.OK);
    store.unreadablePrefixes.add("op/");
    time.runFor(5_000);
    assertThat(submit("0123456789abcdef")).isEqualTo(WorkflowStatus.UNCERTAIN);
  }
}
