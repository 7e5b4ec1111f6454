package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.journal.JournalCodec;
import dev.dandelionport.core.journal.JournalKeys;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.port.Tracing;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HandOverTest {

  private static void submitAndAwaitSuccess(Cell cell, Instance entry) {
    for (int i = 0; i < 20; i++) {
      cell.submitUrgent(entry, "u" + i, "run=20");
    }
    cell.awaitAnswers(20_000);
    assertThat(cell.violations()).isEmpty();
    assertThat(cell.requests.values()).allMatch(r -> r.phase() == JobPhase.SUCCEEDED);
  }

  /**
   * Guards against a former owner that is still opening the journal, and writes to it, after the
   * partition has moved. The store latency of 150 ms makes hand-overs overlap with openings.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void partitionMovedDuringOpeningIsServed(int seed) {
    Cell cell = new Cell(seed, 3, 4, 16);
    cell.store.setLatency(150);
    cell.start();
    cell.time.runFor(2_000);
    submitAndAwaitSuccess(cell, cell.instances.get("tallinn-1"));
  }

  /**
   * Guards against an owner that does not serve again after another writer fenced its journal
   * although the ownership did not change.
   */
  @Test
  void ownerReopensItsFencedJournal() {
    Cell cell = new Cell(1, 2, 1, 4).start();
    JournalKeys keys = JournalKeys.of(new PartitionId("tallinn", 0));
    long next = cell.store.keys(keys.allBatchesPrefix()).size() + 1;
    byte[] foreignBatch = JournalCodec.encodeBatch(next, 1, "another writer", List.of());
    cell.store.putUnconditionally(keys.batchKey(next), foreignBatch);
    submitAndAwaitSuccess(cell, cell.instances.get("tallinn-1"));
  }

  /**
   * Guards against a partition that is marked as released although the former owner's last write
   * failed. The next owner would not wait for attempts that are missing from the journal.
   */
  @Test
  void partitionFencedBeforeLastWriteIsNotMarkedReleased() {
    Cell cell = new Cell(1, 2, 1, 4).start();
    Instance leaving = cell.owner("u0");
    JournalKeys keys = JournalKeys.of(new PartitionId("tallinn", 0));
    cell.store.loseRequests(
        (op, key) -> op.equals("swap") && key.startsWith(keys.allBatchesPrefix()));
    cell.submitUrgent(cell.anyOtherThan(leaving), "late", "run=2000");
    cell.time.runFor(100);
    final CompletableFuture<Void> stopped = leaving.engine.stop();
    cell.time.runFor(100);
    long next = cell.store.keys(keys.allBatchesPrefix()).size() + 1;
    cell.store.putUnconditionally(
        keys.batchKey(next), JournalCodec.encodeBatch(next, 1, "another writer", List.of()));
    cell.store.loseRequests((op, key) -> false);
    assertThat(cell.time.runUntil(stopped::isDone, 15_000)).isTrue();
    byte[] table = cell.store.read(ControlKeys.ASSIGNMENT).orElseThrow();
    assertThat(JsonCodec.decode(table, AssignmentTable.class).owners().values())
        .noneMatch(o -> o.epoch() > 1 && o.released());
    leaving.kill();
    submitAndAwaitSuccess(cell, cell.anyOtherThan(leaving));
  }

  /**
   * Guards against a span that is never ended because its records are committed before it is
   * opened.
   */
  @Test
  void spanEndsEvenIfCommitFinishesBeforeItIsOpened() {
    Cell cell = new Cell(1, 1, 1, 2).start();
    List<String> opened = new ArrayList<>();
    List<String> ended = new ArrayList<>();
    cell.tracing =
        (name, parent) -> {
          opened.add(name);
          if (name.equals("commit")) {
            cell.time.runFor(50);
          }
          return new Tracing.Span() {
            @Override
            public String traceparent() {
              return parent;
            }

            @Override
            public void end(boolean ok) {
              ended.add(name);
            }
          };
        };
    submitAndAwaitSuccess(cell, cell.instances.get("tallinn-1"));
    cell.time.runFor(1_000);
    assertThat(opened).contains("owner", "commit", "start", "result");
    assertThat(ended).containsExactlyInAnyOrderElementsOf(opened);
  }
}
