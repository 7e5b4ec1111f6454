package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.Recurrence;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowRecord;
import dev.dandelionport.core.workflow.WorkflowSpec;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Sends each submission in exactly one message, without the router's further attempts, so that an
 * answer can be compared with what the message did.
 */
class SingleMessageTest {

  private static final int SUBMISSIONS = 500;

  private final Map<String, WorkflowStatus> answers = new HashMap<>();
  private final Set<String> stored = new HashSet<>();

  private static LongStream seeds() {
    long first = Long.getLong("dispatch.firstSeed", 1);
    return LongStream.range(first, first + Long.getLong("dispatch.seeds", 10));
  }

  private void send(WorkflowCluster.Node to, String id, long waitMillis) {
    WorkflowSpec spec =
        new WorkflowSpec(
            "",
            "",
            "",
            "p",
            List.of(StepSpecs.of(1, new ResourceVector(0, 0, 1_000, 10, 0), 400)),
            Recurrence.ONCE,
            false);
    WorkflowCall c =
        new WorkflowCall(
            WorkflowCallKind.SUBMIT, "h", "/q/" + id, "", WorkflowCodec.encodeSpec(spec));
    to.process.run(
        () ->
            to.instance
                .receive(c.withWait(waitMillis))
                .thenAccept(a -> answers.put(id, ((WorkflowAnswer) a).status())));
  }

  private void recordStored(SharedStore.Transaction t) {
    t.writes().stream()
        .filter(w -> StoreKeys.isBatch(w.key()))
        .flatMap(w -> WorkflowCodec.decode(w.value()).stream())
        .filter(r -> r instanceof WorkflowRecord.Accepted)
        .forEach(r -> stored.add(((WorkflowRecord.Accepted) r).spec().id()));
  }

  // Guards against a message that is answered as without effect and stored all the same, by its
  // receiver or by a batch that the store carries out late.
  @ParameterizedTest
  @MethodSource("seeds")
  void messageThatIsAnsweredAsWithoutEffectIsNeverStored(long seed) {
    WorkflowCluster c = new WorkflowCluster(seed, 4);
    c.store.committed = this::recordStored;
    Random random = new Random(seed);
    for (int i = 0; i < SUBMISSIONS; i++) {
      String id = "w" + i;
      WorkflowCluster.Node to =
          random.nextInt(4) == 0 ? c.anyNode() : c.owner().orElse(c.anyNode());
      send(to, id, random.nextInt(4) == 0 ? 0 : 100 + random.nextInt(2_900));
      if (i % 8 == 0) {
        WorkflowInstanceTest.injectFault(c, random);
      }
      c.time.runFor(random.nextInt(25));
    }
    c.time.runFor(20_000);
    Map<WorkflowStatus, Integer> counts = new EnumMap<>(WorkflowStatus.class);
    answers.values().forEach(s -> counts.merge(s, 1, Integer::sum));
    assertThat(counts).containsKeys(WorkflowStatus.OK, WorkflowStatus.NOT_OWNER);
    assertThat(stored).allMatch(id -> !answers.containsKey(id) || !answers.get(id).deniesEffect());
  }

  // Guards against a message that an owner answers as without effect when it is stopped as planned,
  // although its record is stored.
  @ParameterizedTest
  @MethodSource("seeds")
  void messageToOwnerThatHandsOverIsNotStoredIfAnsweredAsWithoutEffect(long seed) {
    WorkflowCluster c = new WorkflowCluster(seed, 4);
    c.store.committed = this::recordStored;
    Random random = new Random(seed);
    for (int i = 0; i < SUBMISSIONS; i++) {
      send(c.owner().orElse(c.anyNode()), "w" + i, 100 + random.nextInt(2_900));
      c.store.lostAnswerFraction = random.nextInt(3) == 0 ? random.nextDouble() : 0;
      if (i % 20 == 0) {
        c.owner().ifPresent(o -> replace(c, o));
      }
      c.time.runFor(random.nextInt(25));
    }
    c.store.lostAnswerFraction = 0;
    c.time.runFor(20_000);
    assertThat(answers).containsValues(WorkflowStatus.OK, WorkflowStatus.NOT_OWNER);
    assertThat(stored).allMatch(id -> !answers.containsKey(id) || !answers.get(id).deniesEffect());
  }

  /** Stops an instance as planned and starts it anew when it has handed over. */
  private static void replace(WorkflowCluster c, WorkflowCluster.Node n) {
    n.instance
        .handOver()
        .thenRun(
            () ->
                c.time.afterMillis(
                    300,
                    () -> {
                      if (c.nodes.get(n.name) == n) {
                        c.kill(n.name);
                        c.start(n.name);
                      }
                    }));
  }
}
