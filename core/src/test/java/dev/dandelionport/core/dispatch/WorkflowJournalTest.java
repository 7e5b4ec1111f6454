package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.SharedStore.Write;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.VirtualTime;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class WorkflowJournalTest {

  private final VirtualTime time = new VirtualTime(1);
  private final FakeSharedStore store = new FakeSharedStore(time);
  private final FakeProcess process = new FakeProcess(time);
  private final SharedStore client = store.client("i", process::run);
  private final Shard shard = StoreContext.shard();
  private final List<Integer> durable = new ArrayList<>();
  private final List<String> fencedCalls = new ArrayList<>();

  private DispatchContext context() {
    return StoreContext.of(client, process);
  }

  private <T> T await(java.util.concurrent.CompletableFuture<T> f) {
    assertThat(time.runUntil(f::isDone, 60_000)).isTrue();
    return f.join();
  }

  private long claimOwnership() {
    return write(StoreKeys.OWNER, new byte[1]);
  }

  /** Writes a batch or snapshot part with one record, as a former owner does. */
  private void writeRecord(String key, int number) {
    write(key, WorkflowCodec.encode(List.of(new WorkflowRecord.PolicyApplied(number))));
  }

  private long write(String key, byte[] value) {
    SharedStore.Outcome o =
        await(
            client.commit(
                new SharedStore.Transaction(
                    List.of(), List.of(new Write(key, value, 0)), List.of())));
    return ((SharedStore.Committed) o).revision();
  }

  private WorkflowJournal journal(long ownerRevision) {
    return new WorkflowJournal(
        context(),
        shard,
        ownerRevision,
        await(HistoryReader.read(client)),
        () -> fencedCalls.add("fenced"));
  }

  private void append(WorkflowJournal j, int number) {
    shard.run(
        () ->
            j.append(List.of(new WorkflowRecord.PolicyApplied(number)), () -> durable.add(number)));
  }

  private List<Long> storedVersions() {
    return await(HistoryReader.read(client)).records().stream()
        .map(r -> ((WorkflowRecord.PolicyApplied) r).version())
        .toList();
  }

  // Guards against records that are lost, duplicated or reordered when answers of the store are
  // lost: a write without an answer may be applied immediately, late or never, and is retried.
  @Test
  void lostAnswersNeitherLoseNorDuplicateRecords() {
    WorkflowJournal j = journal(claimOwnership());
    store.lostAnswerFraction = 0.4;
    for (int i = 0; i < 100; i++) {
      append(j, i);
      time.runFor(7);
    }
    assertThat(time.runUntil(() -> durable.size() == 100, 120_000)).isTrue();
    store.lostAnswerFraction = 0;
    time.runFor(5_000);
    assertThat(durable).containsExactlyElementsOf(IntStream.range(0, 100).boxed().toList());
    assertThat(storedVersions()).hasSize(100).isSorted();
    assertThat(fencedCalls).isEmpty();
  }

  // After a hand-over, runner links of the former owner acknowledged ends that were in no journal,
  // because the stopped journal reported that nothing was left to store.
  @Test
  void stoppedJournalReportsNothingAsDurable() {
    WorkflowJournal j = journal(claimOwnership());
    j.stop();
    shard.run(() -> j.append(List.of(), () -> durable.add(1)));
    append(j, 2);
    time.runFor(1_000);
    assertThat(durable).isEmpty();
  }

  // Guards against a former owner that appends to the journal of the next one, because it has not
  // detected the change of the owner key.
  @Test
  void formerOwnerAddsNothing() {
    WorkflowJournal former = journal(claimOwnership());
    append(former, 1);
    time.runFor(100);
    WorkflowJournal next = journal(claimOwnership());
    append(former, 2);
    append(next, 3);
    time.runFor(500);
    assertThat(durable).containsExactly(1, 3);
    assertThat(fencedCalls).hasSize(1);
    assertThat(storedVersions()).containsExactly(1L, 3L);
  }

  // Guards against the replay of batches after one that was never stored: nothing that depended on
  // them was executed.
  @Test
  void batchesAfterMissingBatchAreIgnored() {
    WorkflowJournal j = journal(claimOwnership());
    append(j, 1);
    time.runFor(100);
    long owner = claimOwnership();
    writeRecord(StoreKeys.batch(3), 9);
    WorkflowJournal next = journal(owner);
    assertThat(storedVersions()).containsExactly(1L);
    for (int i = 10; i < 14; i++) {
      append(next, i);
      time.runFor(30);
    }
    time.runFor(500);
    assertThat(storedVersions()).containsExactly(1L, 10L, 11L, 12L, 13L);
    assertThat(fencedCalls).isEmpty();
  }

  // Guards against a snapshot that loses records or leaves the replaced batches in the store.
  @Test
  void snapshotReplacesBatches() {
    WorkflowJournal j = journal(claimOwnership());
    for (int i = 0; i < 400; i++) {
      append(j, i);
      time.runFor(15);
      writeSnapshotIfDue(j, 1_000 + i);
    }
    time.runFor(2_000);
    List<Long> all = storedVersions();
    assertThat(all.get(0)).isGreaterThanOrEqualTo(1_000);
    assertThat(all).endsWith(399L);
    assertThat(store.keys().stream().filter(StoreKeys::isBatch).count()).isLessThan(200);
  }

  /** Appends batches until a snapshot is due; returns the number of the last batch. */
  private long appendUntilSnapshotIsDue(WorkflowJournal journal) {
    long number = 0;
    while (!shard.call(journal::isSnapshotDue)) {
      append(journal, (int) ++number);
      time.runFor(30);
    }
    return number;
  }

  // A new owner mistook a snapshot part of a former owner for its own, and deleted it as an orphan
  // after its snapshot head referred to it: no later owner could read the history (random faults,
  // seed 19).
  @Test
  void snapshotNeverUsesPartsOfFormerOwner() {
    WorkflowJournal former = journal(claimOwnership());
    long lastBatch = appendUntilSnapshotIsDue(former);
    long owner = claimOwnership();
    writeRecord(StoreKeys.snapshotPart(lastBatch, 0), 7);
    WorkflowJournal next = journal(owner);
    int firstVersion = 10_000;
    writeSnapshotIfDue(next, 5_000);
    time.runFor(30);
    for (int i = 0; i < 20; i++) {
      append(next, firstVersion + i);
      time.runFor(30);
      writeSnapshotIfDue(next, 5_000);
      time.runFor(30);
    }
    assertThat(storedVersions()).startsWith(5_000L).endsWith((long) firstVersion + 19);
    assertThat(fencedCalls).isEmpty();
  }

  // The first attempt of a new owner's first batch got no answer and was applied seconds later,
  // when a snapshot had replaced the batch: it deleted batches that had reused the numbers of a
  // former owner's orphans, and all later batches were lost (random faults).
  @Test
  void lateFirstBatchDoesNotDeleteBatchWithReusedNumber() {
    WorkflowJournal former = journal(claimOwnership());
    long lastBatch = appendUntilSnapshotIsDue(former);
    long owner = claimOwnership();
    writeRecord(StoreKeys.batch(lastBatch + 2), 7);
    writeRecord(StoreKeys.batch(lastBatch + 3), 8);
    WorkflowJournal next = journal(owner);
    append(next, 10_000);
    time.runFor(30);
    writeSnapshotIfDue(next, 5_000);
    time.runFor(30);
    for (int i = 1; i < 40; i++) {
      append(next, 10_000 + i);
      time.runFor(30);
    }
    String first = StoreKeys.batch(lastBatch + 1);
    assertThat(store.keys()).doesNotContain(first);
    // Applies the delayed attempt.
    await(client.commit(store.committedTransaction(first)));
    assertThat(storedVersions()).startsWith(5_000L).hasSize(40).endsWith(10_039L);
  }

  private void writeSnapshotIfDue(WorkflowJournal j, int number) {
    shard.run(
        () -> {
          if (j.isSnapshotDue()) {
            j.writeSnapshot(List.of(new WorkflowRecord.PolicyApplied(number)));
          }
        });
  }
}
