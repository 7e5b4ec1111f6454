package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import dev.dandelionport.core.testing.Cell.Request;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OwnerFailureTest {

  private static final String JOURNAL = "/dandelionport/partitions/";

  private static Cell cell(long seed) {
    return new Cell(seed, 3, 1, 4).start();
  }

  private static void finish(Cell cell) {
    cell.awaitAnswers(40_000);
    cell.time.runFor(2_000);
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against a test cell that cannot serve requests even without faults. */
  @Test
  void servesRequestsWithoutFaults() {
    Cell cell = cell(1);
    Instance entry = cell.instances.get("tallinn-1");
    for (int i = 0; i < 50; i++) {
      cell.submitUrgent(entry, "u" + i, "run=20");
      cell.submitNotRepeatable(entry, "c" + i, "run=30");
    }
    finish(cell);
    assertThat(cell.requests.values()).allMatch(r -> r.phase() == JobPhase.SUCCEEDED);
  }

  /** Guards against lost or repeated work when the owner is killed at any step of a request. */
  @ParameterizedTest
  @ValueSource(strings = {"before-accept", "after-accept", "before-start", "after-start", "result"})
  void requestSucceedsWhenOwnerIsKilledAtAnyStep(String step) {
    for (boolean repeatable : new boolean[] {true, false}) {
      Cell cell = cell(2);
      Instance owner = cell.owner("r");
      final Instance entry = cell.anyOtherThan(owner);
      AtomicBoolean done = new AtomicBoolean();
      cell.store.beforeCalls(
          (op, key) -> {
            boolean write = op.equals("swap") && key.startsWith(JOURNAL);
            if (write && step.equals("before-accept") && done.compareAndSet(false, true)) {
              cell.store.loseRequests((o, k) -> k.startsWith(JOURNAL) && !owner.process.isKilled());
              owner.kill();
            } else if (write && step.equals("after-accept") && done.compareAndSet(false, true)) {
              cell.time.afterMillis(4, owner::kill);
            }
            return false;
          });
      cell.workers.onStart(
          c -> {
            if (step.equals("before-start") && done.compareAndSet(false, true)) {
              owner.kill();
            } else if (step.equals("after-start") && done.compareAndSet(false, true)) {
              cell.time.afterMillis(5, owner::kill);
            }
          });
      cell.workers.onEnd(
          r -> {
            if (step.equals("result") && done.compareAndSet(false, true)) {
              cell.time.afterNanos(500_000, owner::kill);
            }
          });
      final Request r = cell.submit(entry, cell.spec("r", urgentClass(), repeatable, "run=50"));
      finish(cell);
      assertThat(done).isTrue();
      assertThat(owner.process.isKilled()).isTrue();
      assertThat(r.phase()).isEqualTo(JobPhase.SUCCEEDED);
    }
  }

  private static WorkloadClass urgentClass() {
    return WorkloadClass.URGENT;
  }

  /**
   * Guards against a takeover that takes more than 4.6 s from the owner's failure to the next
   * start.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void urgentWorkStartsWithin4600MillisAfterOwnerFailure(boolean unresponsiveWorker) {
    for (int seed = 1; seed <= 20; seed++) {
      Cell cell = cell(seed);
      cell.store.setLatency(30);
      Instance owner = cell.owner("x");
      final Instance entry = cell.anyOtherThan(owner);
      cell.time.runFor(cell.time.random().nextInt(2_000));
      if (unresponsiveWorker) {
        cell.workers.setUnresponsive(new WorkerId("tallinn-w0"), true);
      }
      owner.kill();
      final long failedMillis = cell.time.nowMillis();
      cell.time.runFor(10);
      cell.submitUrgent(entry, "x", "run=10");
      finish(cell);
      long started = cell.workers.runsOf("x").get(0).startedMillis;
      assertThat(started - failedMillis).as("seed %d", seed).isLessThanOrEqualTo(4_600);
    }
  }

  /** Guards against an owner that still acts after a pause that was longer than its lease. */
  @Test
  void pausedOwnerStartsNothingAfterItsLeaseExpires() {
    for (boolean repeatable : new boolean[] {true, false}) {
      Cell cell = cell(4);
      Instance owner = cell.owner("p");
      final Instance entry = cell.anyOtherThan(owner);
      cell.workers.delayStarts(c -> c.attempt().job().requestKey().equals("p"), 6_000);
      final Request r = cell.submit(entry, cell.spec("p", urgentClass(), repeatable, "run=3000"));
      cell.time.runFor(20);
      owner.process.pause();
      cell.time.runFor(50);
      cell.workers.delayStarts(c -> false, 0);
      cell.time.runFor(5_000);
      owner.process.resume();
      finish(cell);
      assertThat(r.phase()).isEqualTo(JobPhase.SUCCEEDED);
      assertThat(cell.workers.runsOf("p")).hasSize(1);
    }
  }
}
