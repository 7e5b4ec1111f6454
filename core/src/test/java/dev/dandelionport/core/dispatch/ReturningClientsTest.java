package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.dispatch.PlatformInvariants.Submitted;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.Recurrence;
import dev.dandelionport.core.workflow.StepSpec;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Answers to clients that return with the same id, at any instance. */
class ReturningClientsTest {

  private static final int STEPS = 300;
  private static final int MIN_STEP_MILLIS = 50;
  private static final int MAX_STEP_MILLIS = 150;

  /** Time for the last tries and for the starts that follow them, in milliseconds. */
  private static final long FINISH_MILLIS = 25_000;

  private static final StepSpec ONE_TASK =
      StepSpecs.of(1, new ResourceVector(0, 0, 500, 100, 0), 400);

  private static final List<String> QUEUES = List.of(PlatformCluster.URGENT, PlatformCluster.BATCH);

  /** Returns the seeds to run: 4 by default, N with {@code -Ddispatch.seeds=N}. */
  private static LongStream seeds() {
    long first = Long.getLong("dispatch.firstSeed", 1);
    return LongStream.range(first, first + Long.getLong("dispatch.seeds", 4));
  }

  // Guards against workflows that run although their clients were told that they never would.
  @ParameterizedTest
  @MethodSource("seeds")
  void noRejectedTryIsStored(long seed) {
    PlatformCluster cell = new PlatformCluster(seed);
    SubmissionTries tries = new SubmissionTries(cell.time, cell.invariants.violations);
    cell.invariants.startListener = s -> tries.taskStarted(s.task().workflow(), s.payload());
    cell.time.runFor(2_000);
    runFaults(cell, tries, seed);
    cell.time.runFor(FINISH_MILLIS);
    assertThat(cell.invariants.violations).as(() -> String.join("\n", cell.trace)).isEmpty();
    assertAcceptedAreKnown(cell, tries);
    assertThat(tries.count(WorkflowStatus.REFUSED)).isPositive();
    assertThat(tries.count(WorkflowStatus.UNCERTAIN)).isPositive();
    assertThat(tries.all()).noneMatch(SubmissionTries.Try::isUnderWay);
  }

  private static void runFaults(PlatformCluster cell, SubmissionTries tries, long seed) {
    PlatformFaults platformFaults = new PlatformFaults(cell, seed, false);
    OwnerChangeFaults ownerFaults = new OwnerChangeFaults(cell, seed);
    Random random = new Random(17 * seed + 5);
    for (int i = 0; i < STEPS; i++) {
      submit(cell, tries, random, "c" + i);
      platformFaults.injectNext();
      ownerFaults.injectNext();
      cell.time.runFor(MIN_STEP_MILLIS + random.nextInt(MAX_STEP_MILLIS - MIN_STEP_MILLIS));
    }
    ownerFaults.end();
    platformFaults.endFaults();
  }

  private static void submit(
      PlatformCluster cell, SubmissionTries tries, Random random, String id) {
    String queue = QUEUES.get(random.nextInt(QUEUES.size()));
    String account = random.nextBoolean() ? "a" : "b";
    Submitted w = new Submitted(queue, account, List.of(ONE_TASK), Recurrence.ONCE);
    cell.invariants.workflows.put(id, w);
    new ReturningClient(cell, tries, random, id, w).send();
  }

  private static void assertAcceptedAreKnown(PlatformCluster cell, SubmissionTries tries) {
    List<String> accepted = tries.accepted();
    assertThat(accepted).isNotEmpty();
    assertThat(accepted)
        .as("all accepted workflows have a state")
        .allMatch(id -> cell.state(id).isPresent());
  }
}
