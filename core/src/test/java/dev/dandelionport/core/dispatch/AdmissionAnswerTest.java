package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what callers are told about submissions that are not accepted. */
class AdmissionAnswerTest {

  private static final StepSpec SMALL = step(1_000);
  private static final StepSpec TOO_LARGE = step(10_000_000);

  private final PlatformCluster cell = new PlatformCluster(1);

  private static StepSpec step(long milliCores) {
    return StepSpecs.of(1, new ResourceVector(0, 0, milliCores, 10, 0), 400);
  }

  private WorkflowAnswer submit(String id, StepSpec step) {
    var f = cell.submit(cell.cluster.anyNode(), id, PlatformCluster.BATCH, "a", List.of(step));
    assertThat(cell.time.runUntil(f::isDone, 10_000)).isTrue();
    return f.join();
  }

  @Test
  void impossibleSubmissionIsRefusedAndNeverKnown() {
    // Guards against an acceptance without a chance, and against a refusal that is recorded.
    cell.time.runFor(4_000);
    WorkflowAnswer a = submit("w", TOO_LARGE);
    assertThat(a.status()).isEqualTo(WorkflowStatus.REFUSED);
    assertThat(a.overShare()).isFalse();
    assertThat(a.retryMillis()).isBetween(29_000L, 30_000L);
    assertThat(cell.state("w")).isEmpty();
    assertThat(cell.trace).anyMatch(t -> t.contains("REFUSED") && t.contains("no runner could"));
  }

  @Test
  void acceptedIdGetsItsAnswerAgain() {
    // Guards against a refusal of an id that was accepted, whatever the repeated call contains.
    cell.time.runFor(4_000);
    assertThat(submit("w", SMALL).status()).isEqualTo(WorkflowStatus.OK);
    assertThat(submit("w", TOO_LARGE).status()).isEqualTo(WorkflowStatus.OK);
  }

  @Test
  void acceptedIdOfRemovedQueueIsNotRefusedWhileConfigurationIsNotConfirmed() {
    // Guards against a refusal of an accepted id whose route the outdated configuration lacks.
    cell.time.runFor(4_000);
    assertThat(submit("w", SMALL).status()).isEqualTo(WorkflowStatus.OK);
    cell.configure(false, PlatformCluster.CEILING);
    cell.time.runFor(1_000);
    cell.store.unreadablePrefixes.add("op/");
    cell.time.runFor(5_000);
    assertThat(submit("w", SMALL).status()).isEqualTo(WorkflowStatus.UNCERTAIN);
    assertThat(submit("other", SMALL).status()).isEqualTo(WorkflowStatus.REFUSED);
  }

  @Test
  void answerOfAnOlderProcessIsReadable() {
    // Guards against a field that is required, and a status that an older process does not know.
    String json = "{\"status\":\"REFUSED\",\"state\":null,\"pending\":0,\"retryMillis\":700}";
    assertThat(JsonCodec.decode(json.getBytes(StandardCharsets.UTF_8), WorkflowAnswer.class))
        .isEqualTo(new WorkflowAnswer(WorkflowStatus.REFUSED, null, 0, 700, false));
    WorkflowAnswer overShare = new WorkflowAnswer(WorkflowStatus.REFUSED, null, 0, 700, true);
    assertThat(JsonCodec.decode(JsonCodec.encode(overShare), WorkflowAnswer.class))
        .isEqualTo(overShare);
  }
}
