package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RandomFaultTest {

  private static final String JOURNAL = "/dandelionport/partitions/";

  private static void injectFault(Cell cell, Random random, int step) {
    List<Instance> alive =
        cell.instances.values().stream().filter(i -> !i.process.isKilled()).toList();
    Instance one = alive.get(random.nextInt(alive.size()));
    Instance two = alive.get(random.nextInt(alive.size()));
    WorkerId worker = new WorkerId("tallinn-w" + random.nextInt(8));
    long millis = 200 + random.nextInt(5_000);
    switch (random.nextInt(8)) {
      case 0 -> {
        cell.store.setDown(true);
        cell.time.afterMillis(millis, () -> cell.store.setDown(false));
      }
      case 1 -> {
        cell.store.setDisconnected(one.process, true);
        cell.time.afterMillis(millis, () -> cell.store.setDisconnected(one.process, false));
      }
      case 2 -> {
        one.process.pause();
        cell.time.afterMillis(millis, one.process::resume);
      }
      case 3 -> {
        cell.peers.setCut(one.info.id(), two.info.id(), true);
        cell.time.afterMillis(millis, () -> cell.peers.setCut(one.info.id(), two.info.id(), false));
      }
      case 4 -> {
        cell.workers.setUnresponsive(worker, true);
        cell.time.afterMillis(3 * millis, () -> cell.workers.setUnresponsive(worker, false));
      }
      case 5 -> {
        cell.workers.setDisconnected(worker, one.process, true);
        cell.time.afterMillis(
            3 * millis, () -> cell.workers.setDisconnected(worker, one.process, false));
      }
      case 6 -> {
        cell.store.loseRequests((op, key) -> op.equals("swap") && key.startsWith(JOURNAL));
        cell.time.afterMillis(millis, () -> cell.store.loseRequests((op, key) -> false));
      }
      default -> {
        if (alive.size() > 2) {
          one.kill();
        }
        cell.add("tallinn-new-" + step, "tallinn").engine.start();
      }
    }
  }

  /** Guards against violations that only a combination of faults causes. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void combinedRandomFaultsBreakNoInvariant(long seed) {
    Cell cell = new Cell(seed, 4, 2, 8).start();
    Random random = new Random(seed);
    cell.store.loseReplies((op, key) -> random.nextInt(50) == 0);
    cell.workers.duplicate(0.05);
    cell.peers.duplicate(0.1);
    cell.peers.delay(m -> random.nextInt(30) == 0, 8_000);
    cell.peers.duplicate(m -> random.nextInt(30) == 0, 12_000);
    for (int step = 0; step < 40; step++) {
      injectFault(cell, random, step);
      List<Instance> alive =
          cell.instances.values().stream().filter(i -> !i.process.isKilled()).toList();
      Instance entry = alive.get(random.nextInt(alive.size()));
      cell.submitUrgent(entry, "u" + step, "run=" + random.nextInt(3_000));
      cell.submitNotRepeatable(entry, "c" + step, "run=" + random.nextInt(3_000));
      String run = "run=" + random.nextInt(3_000);
      JobSpec deferrable = cell.spec("d" + step, WorkloadClass.DEFERRABLE, true, run);
      // The caller has abandoned this copy and does not receive its answer.
      alive.get(random.nextInt(alive.size())).router.submit(deferrable, 30_000, "");
      cell.submit(entry, deferrable);
      cell.time.runFor(random.nextInt(2_000));
    }
    cell.store.loseReplies((op, key) -> false);
    cell.awaitAnswers(200_000);
    assertThat(cell.violations()).isEmpty();
  }
}
