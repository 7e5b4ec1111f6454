package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.StepSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class WorkflowInstanceTest {

  /** Seeds that violated an invariant: an owner that had been paused started a task (2269). */
  private static final long[] FAILED_BEFORE = {2269};

  /**
   * Returns the seeds to run: 20 by default, N with {@code -Ddispatch.seeds=N}, from {@code
   * -Ddispatch.firstSeed=M}; those that have failed before are added by default.
   */
  private static LongStream seeds() {
    long first = Long.getLong("dispatch.firstSeed", 1);
    LongStream range = LongStream.range(first, first + Long.getLong("dispatch.seeds", 20));
    boolean isDefault = System.getProperty("dispatch.seeds") == null;
    return isDefault ? LongStream.concat(range, LongStream.of(FAILED_BEFORE)) : range;
  }

  private static StepSpec step(int tasks, Integer... after) {
    return StepSpecs.of(tasks, new ResourceVector(0, 0, 1_000, 10, 0), 400, after);
  }

  private static StepSpec gang(int tasks) {
    return StepSpecs.gang(tasks, new ResourceVector(0, 0, 1_000, 10, 0), 400);
  }

  // Guards against requests that succeed only when they are sent to the owner itself.
  @Test
  void anyInstanceRoutesRequestsToOwner() {
    WorkflowCluster c = new WorkflowCluster(1, 3);
    c.time.runFor(2_000);
    for (WorkflowCluster.Node n : c.nodes.values()) {
      String id = "w-" + n.name;
      assertThat(c.await(c.submit(n, id, step(2), step(1, 0))).status())
          .isEqualTo(WorkflowStatus.OK);
      c.time.runFor(3_000);
      assertThat(c.isCompleted(id)).isTrue();
    }
    assertThat(c.runners.violations).isEmpty();
  }

  // Guards against a takeover that waits for the owner's lease to expire although its process has
  // ended, which peers detect when connections are refused.
  @Test
  void ownerWhoseProcessHasEndedIsReplacedBeforeItsLeaseEnds() {
    WorkflowCluster c = new WorkflowCluster(2, 3);
    c.time.runFor(2_000);
    String former = c.owner().orElseThrow().name;
    c.kill(former);
    assertThat(c.time.runUntil(() -> c.owner().isPresent(), 900)).isTrue();
  }

  // While the store did not answer, the watch of the owner key hung for seconds, and no instance
  // took over from an owner that had lost power.
  @Test
  void unresponsiveOwnerIsReplacedSoonAfterLeaseExpiry() {
    WorkflowCluster c = new WorkflowCluster(3, 3);
    c.time.runFor(2_000);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    c.cutInstances.add(former.name);
    c.store.refusedCallers.add(former.name);
    former.process.pause();
    assertThat(c.time.runUntil(() -> c.owner().filter(o -> o != former).isPresent(), 2_500))
        .isTrue();
  }

  // Guards against a planned stop that leaves the workflows without an owner.
  @Test
  void handOverMovesWorkflowsImmediately() {
    WorkflowCluster c = new WorkflowCluster(4, 3);
    c.time.runFor(2_000);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    assertThat(c.await(c.submit(former, "w", step(4))).status()).isEqualTo(WorkflowStatus.OK);
    c.time.runFor(100);
    former.instance.handOver();
    assertThat(c.time.runUntil(() -> c.owner().filter(o -> o != former).isPresent(), 500)).isTrue();
    c.time.runFor(2_000);
    assertThat(c.isCompleted("w")).isTrue();
    assertThat(c.runners.violations).isEmpty();
  }

  // Guards against an owner that loses access to the store and continues to start tasks while
  // another instance takes over.
  @Test
  void ownerWithoutStoreAccessIsReplacedAndNothingRunsTwice() {
    WorkflowCluster c = new WorkflowCluster(5, 3);
    c.time.runFor(2_000);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    assertThat(c.await(c.submit(former, "w", step(20))).status()).isEqualTo(WorkflowStatus.OK);
    c.store.refusedCallers.add(former.name);
    assertThat(
            c.time.runUntil(
                () -> c.nodes.values().stream().anyMatch(n -> n != former && n.instance.isOwner()),
                4_000))
        .isTrue();
    c.time.runFor(8_000);
    c.store.refusedCallers.clear();
    c.time.runFor(2_000);
    assertThat(c.isCompleted("w")).isTrue();
    assertThat(c.runners.violations).isEmpty();
  }

  // Guards against combinations of faults that violate an invariant: a task that runs twice at
  // once, a task that starts after its acknowledged end, a runner over its capacity, a lost
  // workflow, or a refused workflow that was accepted.
  @ParameterizedTest
  @MethodSource("seeds")
  void invariantsHoldUnderRandomFaults(long seed) {
    assertInvariantsHold(new WorkflowCluster(seed, 4), seed);
  }

  // Guards against a hand-over to a larger instance that violates an invariant when faults occur
  // during it, and against repeated hand-overs.
  @ParameterizedTest
  @MethodSource("seeds")
  void promisesHoldUnderRandomFaultsOnMachinesOfDifferentSize(long seed) {
    WorkflowCluster c = new WorkflowCluster(seed, 4, Map.of("n1", 360L, "n2", 360L, "n3", 700L));
    assertInvariantsHold(c, seed);
    assertThat(c.owner()).matches(o -> o.orElseThrow().name.equals("n0"));
    for (int i = 1; i < c.offersMillis.size(); i++) {
      // An owner offers a hand-over no sooner than 5 s after it opened; the bound allows for the
      // check interval.
      assertThat(c.offersMillis.get(i) - c.offersMillis.get(i - 1)).isGreaterThanOrEqualTo(4_900);
    }
    // Without faults the ownership moves to the largest instance at most once, and stays there.
    assertThat(c.offersMillis).filteredOn(t -> t > c.time.nowMillis() - 50_000).isEmpty();
  }

  // Guards against an owner, present or former, that refuses a repeated submission of a workflow
  // that any owner has accepted.
  @ParameterizedTest
  @MethodSource("seeds")
  void acceptedWorkflowIsNeverRefusedByAnOwnerUnderRandomFaults(long seed) {
    assertAcceptedIsNeverRefusedByAnOwner(new WorkflowCluster(seed, 4), seed);
  }

  // Guards against an owner that has handed over and refuses what the next one has accepted.
  @ParameterizedTest
  @MethodSource("seeds")
  void acceptedWorkflowIsNeverRefusedByAnOwnerOnMachinesOfDifferentSize(long seed) {
    assertAcceptedIsNeverRefusedByAnOwner(
        new WorkflowCluster(seed, 4, Map.of("n1", 360L, "n2", 360L, "n3", 700L)), seed);
  }

  private static void assertAcceptedIsNeverRefusedByAnOwner(WorkflowCluster c, long seed) {
    c.time.runFor(2_000);
    Random random = new Random(seed);
    List<String> accepted = new ArrayList<>();
    List<String> refused = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      String id = "w" + i;
      c.submit(c.anyNode(), id, step(1))
          .thenAccept(
              a -> {
                if (a.status() == WorkflowStatus.OK) {
                  accepted.add(id);
                }
              });
      for (int k = 0; k < 3 && !accepted.isEmpty(); k++) {
        String repeated = accepted.get(accepted.size() - 1 - random.nextInt(accepted.size()) / 8);
        int firstReport = c.reports.size();
        c.submit(c.anyNode(), repeated, step(1))
            .thenAccept(
                a ->
                    c.reports.subList(firstReport, c.reports.size()).stream()
                        .filter(r -> isRefusalByOwner(r, repeated))
                        .forEach(r -> refused.add(repeated)));
      }
      injectFault(c, random);
      c.time.runFor(50 + random.nextInt(100));
    }
    assertThat(accepted).isNotEmpty();
    assertThat(refused).isEmpty();
  }

  private static boolean isRefusalByOwner(WorkflowCluster.Report r, String id) {
    return r.topic() == DispatchTopic.REQUEST_REFUSED && r.fields().get("path").equals("/q/" + id);
  }

  // A closing owner answered pending requests in hash code order, so no seed was reproducible.
  @Test
  void randomFaultsAreReproducibleFromSeed() {
    WorkflowCluster first = new WorkflowCluster(721, 4);
    assertInvariantsHold(first, 721);
    WorkflowCluster second = new WorkflowCluster(721, 4);
    assertInvariantsHold(second, 721);
    assertThat(second.reports).isEqualTo(first.reports);
  }

  private static void assertInvariantsHold(WorkflowCluster c, long seed) {
    c.time.runFor(2_000);
    Random random = new Random(seed);
    Map<String, CompletableFuture<WorkflowAnswer>> answers = new HashMap<>();
    for (int i = 0; i < 400; i++) {
      String id = "w" + i / 2;
      if (i % 2 == 0) {
        StepSpec[] steps =
            random.nextInt(3) == 0
                ? new StepSpec[] {gang(3)}
                : new StepSpec[] {step(1 + random.nextInt(3)), step(1, 0)};
        answers.put(id, c.submit(c.anyNode(), id, steps));
      }
      injectFault(c, random);
      c.time.runFor(50 + random.nextInt(100));
    }
    endFaults(c);
    c.time.runFor(60_000);
    Set<String> unfinished = new TreeSet<>();
    List<String> accepted = withAnswer(answers, WorkflowStatus.OK);
    for (String id : withAnswer(answers, WorkflowStatus.REFUSED)) {
      assertThat(c.await(c.read(c.anyNode(), id)).status())
          .as("refused workflow %s", id)
          .isEqualTo(WorkflowStatus.UNKNOWN_WORKFLOW);
    }
    for (String id : accepted) {
      if (!c.isCompleted(id)) {
        unfinished.add(id);
      }
    }
    assertThat(c.runners.violations).isEmpty();
    assertThat(unfinished).isEmpty();
    assertThat(accepted).isNotEmpty();
  }

  private static List<String> withAnswer(
      Map<String, CompletableFuture<WorkflowAnswer>> answers, WorkflowStatus status) {
    return answers.entrySet().stream()
        .filter(e -> e.getValue().isDone() && e.getValue().join().status() == status)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Injects a random fault, or none. */
  static void injectFault(WorkflowCluster c, Random random) {
    List<String> names = new ArrayList<>(new TreeSet<>(c.nodes.keySet()));
    if (names.size() == 1) {
      // The test needs one instance to send requests to; the loss of all instances is covered on
      // the bench.
      return;
    }
    String name = names.get(random.nextInt(names.size()));
    String runner = "r" + random.nextInt(6);
    switch (random.nextInt(40)) {
      case 0 -> {
        c.kill(name);
        c.time.afterMillis(1_000, () -> c.start(name));
      }
      case 1 -> {
        WorkflowCluster.Node n = c.nodes.get(name);
        n.process.pause();
        c.time.afterMillis(500 + random.nextInt(3_000), n.process::resume);
      }
      case 2 -> {
        c.store.refusedCallers.add(name);
        c.time.afterMillis(3_000, () -> c.store.refusedCallers.remove(name));
      }
      case 3 -> {
        c.cutInstances.add(name);
        c.time.afterMillis(2_000, () -> c.cutInstances.remove(name));
      }
      case 4 -> {
        c.runners.cutLinks.add(runner);
        c.time.afterMillis(4_000, () -> c.runners.cutLinks.remove(runner));
      }
      case 5 -> {
        String link = name + ">" + runner;
        c.runners.cutLinks.add(link);
        c.time.afterMillis(4_000, () -> c.runners.cutLinks.remove(link));
      }
      case 6 -> c.runners.lateFraction = random.nextDouble() * 0.3;
      case 7 -> c.runners.lateFraction = 0;
      case 8 -> c.store.lostAnswerFraction = random.nextDouble() * 0.4;
      case 9 -> c.store.lostAnswerFraction = 0;
      case 10 -> c.store.compact();
      case 11 -> c.runners.crash(runner);
      default -> {
        // Most draws inject no fault.
      }
    }
  }

  private static void endFaults(WorkflowCluster c) {
    c.time.runFor(6_000);
    c.runners.lateFraction = 0;
    c.store.lostAnswerFraction = 0;
    c.store.refusedCallers.clear();
    c.cutInstances.clear();
    c.runners.cutLinks.clear();
  }
}
