package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import dev.dandelionport.core.testing.Cell.Request;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoreFailureTest {

  private static final String JOURNAL = "/dandelionport/partitions/";

  private static void finish(Cell cell) {
    cell.awaitAnswers(60_000);
    cell.time.runFor(2_000);
    assertThat(cell.violations()).isEmpty();
  }

  /**
   * Guards against a store outage that stops urgent jobs, ends running tasks, or leaves callers of
   * other jobs without an answer.
   */
  @Test
  void urgentAndRunningWorkContinuesInStoreOutageAndOtherJobsAreRefused() {
    for (int seed = 1; seed <= 10; seed++) {
      Cell cell = new Cell(seed, 3, 1, 4).start();
      cell.time.runFor(cell.time.random().nextInt(2_000));
      final Instance owner = cell.owner("long");
      Instance entry = cell.anyOtherThan(owner);
      cell.submitUrgent(entry, "long", "run=25000");
      cell.time.runFor(1_000);
      cell.store.setDown(true);
      cell.time.runFor(500);
      for (int i = 0; i < 10; i++) {
        cell.time.runFor(500);
        cell.submitUrgent(entry, "u" + i, "run=20");
        cell.time.runFor(400);
        assertThat(cell.workers.runsOf("u" + i)).as("seed %d urgent %d", seed, i).hasSize(1);
      }
      final long submittedMillis = cell.time.nowMillis();
      Request refused = cell.submitNotRepeatable(entry, "c", "run=20");
      cell.time.runUntil(refused::isFinal, 10_000);
      assertThat(refused.lastAnswer.outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(cell.time.nowMillis() - submittedMillis).isBetween(1_900L, 2_300L);
      cell.time.runFor(3_000);
      cell.store.setDown(false);
      finish(cell);
      assertThat(cell.workers.runsOf("c")).isEmpty();
      assertThat(cell.workers.runsOf("long")).as("seed %d", seed).hasSize(1);
      assertThat(owner.events(EngineEvent.StoreOutageEnded.class)).hasSize(1);
    }
  }

  /**
   * Guards against a failed member that stays in the assignment table, so that owners wait for its
   * promise in every later store outage.
   */
  @Test
  void urgentWorkContinuesInStoreOutageAfterMemberFailure() {
    for (int seed = 1; seed <= 5; seed++) {
      Cell cell = new Cell(seed, 4, 1, 4).start();
      Instance owner = cell.owner("u0");
      final Instance entry = cell.anyOtherThan(owner);
      cell.instances.values().stream()
          .filter(i -> i != owner && i != entry)
          .findFirst()
          .orElseThrow()
          .kill();
      cell.time.runFor(8_000);
      cell.store.setDown(true);
      cell.time.runFor(4_000);
      for (int i = 0; i < 10; i++) {
        cell.submitUrgent(entry, "u" + i, "run=20");
        cell.time.runFor(500);
        assertThat(cell.workers.runsOf("u" + i)).as("seed %d urgent %d", seed, i).hasSize(1);
      }
      cell.store.setDown(false);
      finish(cell);
    }
  }

  /** Guards against the refusal of callers that wait longer than the outage lasts. */
  @Test
  void callersThatWaitLongerThanOutageAreNotRefused() {
    Cell cell = new Cell(12, 3, 1, 16).start();
    Instance entry = cell.anyOtherThan(cell.owner("d"));
    cell.time.runFor(1_000);
    cell.store.loseRequests((op, key) -> op.equals("swap") && key.startsWith(JOURNAL));
    for (int i = 0; i < 200; i++) {
      if (i == 150) {
        cell.store.loseRequests((op, key) -> false);
      }
      cell.submit(entry, cell.spec("d" + i, WorkloadClass.DEFERRABLE, i % 2 == 0, "run=10"));
      cell.time.runFor(20);
    }
    finish(cell);
    assertThat(cell.requests.values())
        .filteredOn(r -> r.answers.stream().anyMatch(a -> a.outcome() == Outcome.NOT_RUN))
        .isEmpty();
  }

  /**
   * Guards against a job that is refused as not run although its record may have reached the store.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void jobWithUnknownWriteIsNeverRefusedAsNotRun(boolean replyLost) {
    Cell cell = new Cell(5, 3, 1, 4).start();
    Instance entry = cell.anyOtherThan(cell.owner("c"));
    AtomicInteger writes = new AtomicInteger();
    cell.store.beforeCalls(
        (op, key) -> {
          if (op.equals("swap") && key.startsWith(JOURNAL) && writes.incrementAndGet() == 1) {
            if (replyLost) {
              cell.time.afterMillis(4, () -> cell.store.setDown(true));
              cell.store.loseReplies((o, k) -> k.startsWith(JOURNAL));
            } else {
              cell.store.setDown(true);
            }
          }
          return false;
        });
    Request r = cell.submitNotRepeatable(entry, "c", "run=20");
    cell.time.runFor(6_000);
    assertThat(r.answers).noneMatch(a -> a.outcome() == Outcome.NOT_RUN);
    cell.store.loseReplies((o, k) -> false);
    cell.store.setDown(false);
    finish(cell);
    assertThat(r.phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.workers.runsOf("c")).hasSize(1);
  }

  /**
   * Guards against endless retries, leaked leases and repeated writes after replies to any store
   * call were lost.
   */
  @ParameterizedTest
  @ValueSource(strings = {"grant", "keepAlive", "swap", "list", "get", "delete", "all"})
  void lostStoreRepliesBreakNoInvariant(String operation) {
    for (int seed = 1; seed <= 5; seed++) {
      Cell cell = new Cell(seed, 3, 2, 4);
      cell.store.loseReplies(
          (op, key) ->
              (operation.equals("all") || op.equals(operation))
                  && cell.time.random().nextInt(5) == 0);
      cell.start();
      Instance entry = cell.instances.get("tallinn-1");
      for (int i = 0; i < 20; i++) {
        cell.submitUrgent(entry, "u" + i, "run=20");
        cell.submitNotRepeatable(entry, "c" + i, "run=20");
        cell.time.runFor(200);
      }
      cell.store.loseReplies((op, key) -> false);
      finish(cell);
      cell.time.runFor(5_000);
      assertThat(cell.store.keys(ControlKeys.MEMBERS)).hasSize(3);
    }
  }

  /**
   * Guards against a registration that restarts with a new lease, and leaks the old one, after the
   * reply to a write was lost.
   */
  @Test
  void joinContinuesWithItsLeaseAfterLostReply() {
    Cell cell = new Cell(6, 1, 1, 2);
    AtomicInteger writes = new AtomicInteger();
    cell.store.loseReplies(
        (op, key) ->
            op.equals("swap")
                && key.startsWith(ControlKeys.MEMBERS)
                && writes.incrementAndGet() == 1);
    Instance i = cell.instances.get("tallinn-1");
    i.engine.start();
    cell.time.runUntil(() -> !i.events(EngineEvent.Joined.class).isEmpty(), 1_300);
    assertThat(i.events(EngineEvent.Joined.class)).hasSize(1);
    assertThat(cell.store.calls("grant")).isEqualTo(1);
  }

  /**
   * Guards against takeovers that never complete when the store and the owner fail at the same
   * time, twice in succession.
   */
  @Test
  void cellRecoversFromTwoStoreOutagesWithOwnerFailure() {
    for (int seed = 1; seed <= 5; seed++) {
      Cell cell = new Cell(seed, 4, 1, 4).start();
      Instance entry = cell.instances.get("tallinn-4");
      for (int round = 0; round < 2; round++) {
        final Instance owner = cell.owner("x");
        cell.submitNotRepeatable(entry, "a" + round, "run=3000");
        cell.submitUrgent(entry, "b" + round, "run=3000");
        cell.time.runFor(300);
        cell.store.setDown(true);
        if (owner != entry) {
          owner.kill();
        }
        cell.time.runFor(4_000);
        cell.store.setDown(false);
        cell.awaitServed(10_000);
      }
      finish(cell);
    }
  }

  /**
   * Guards against duplicated, delayed and reordered messages that make a job run twice or be
   * answered twice.
   */
  @Test
  void duplicatedAndReorderedMessagesBreakNoInvariant() {
    for (int seed = 1; seed <= 5; seed++) {
      Cell cell = new Cell(seed, 3, 2, 4).start();
      cell.peers.duplicate(0.3);
      cell.peers.setLatency(80);
      cell.workers.duplicate(0.3);
      Instance entry = cell.instances.get("tallinn-2");
      for (int i = 0; i < 30; i++) {
        cell.submitUrgent(entry, "u" + i, "run=" + 10 * i);
        cell.submitNotRepeatable(entry, "c" + i, "run=" + 10 * i);
        cell.time.runFor(50);
      }
      finish(cell);
      assertThat(cell.requests.values()).allMatch(r -> r.phase() == JobPhase.SUCCEEDED);
    }
  }

  /**
   * Guards against idle instances that overload the store, whose capacity does not grow with the
   * number of instances.
   */
  @Test
  void idleInstanceMakesAtMostTwoStoreCallsPerSecond() {
    Cell cell = new Cell(1, 3, 2, 4).start();
    cell.time.runFor(5_000);
    for (Instance i : cell.instances.values()) {
      final int before = cell.store.calls(i.process);
      cell.time.runFor(60_000);
      assertThat(cell.store.calls(i.process) - before).isLessThanOrEqualTo(120);
    }
  }
}
