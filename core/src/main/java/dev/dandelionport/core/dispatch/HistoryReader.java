package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.SharedStore.Condition;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the snapshot and the journal batches. Only an owner whose key is written may read them,
 * because then no other instance changes them meanwhile.
 */
final class HistoryReader {

  /**
   * Content of the stored history.
   *
   * @param records records in the order in which they are replayed
   * @param nextBatch number of the next batch to write
   * @param firstBatch number of the oldest batch in the store
   * @param partKeys keys of the snapshot parts
   * @param headRevision revision of the key that names the snapshot
   * @param orphanBatches batches after a missing one, with their revisions, in the order of their
   *     numbers. They are not replayed, and their numbers will be used again.
   * @param obsoleteKeys keys that nothing refers to and that are never used again
   */
  record History(
      List<WorkflowRecord> records,
      long nextBatch,
      long firstBatch,
      List<String> partKeys,
      long headRevision,
      List<Condition> orphanBatches,
      List<String> obsoleteKeys) {}

  private HistoryReader() {}

  /**
   * Reads the complete history; fails if the store does not answer or the snapshot lacks a part.
   */
  static CompletableFuture<History> read(SharedStore store) {
    return store.listAll(StoreKeys.HISTORY).thenApply(p -> decode(p.entries()));
  }

  private static History decode(List<Entry> entries) {
    TreeMap<String, Entry> byKey = new TreeMap<>();
    entries.forEach(e -> byKey.put(e.key(), e));
    Entry headEntry = byKey.get(StoreKeys.SNAPSHOT_HEAD);
    SnapshotHead snapshot =
        headEntry == null ? new SnapshotHead(0, 0) : SnapshotHead.decode(headEntry.value());
    final List<WorkflowRecord> records = new ArrayList<>();
    final List<String> partKeys = new ArrayList<>();
    final List<Condition> orphanBatches = new ArrayList<>();
    final List<String> obsoleteKeys = new ArrayList<>();
    for (int i = 0; i < snapshot.parts(); i++) {
      Entry e = byKey.get(StoreKeys.snapshotPart(snapshot.number(), i));
      if (e == null) {
        throw new IllegalStateException("snapshot " + snapshot.number() + " lacks part " + i);
      }
      partKeys.add(e.key());
      records.addAll(WorkflowCodec.decode(e.value()));
    }
    long nextBatch = snapshot.number() + 1;
    boolean gap = false;
    for (Entry e : byKey.values()) {
      boolean isBatch = StoreKeys.isBatch(e.key());
      long number = isBatch || StoreKeys.isSnapshotPart(e.key()) ? StoreKeys.number(e.key()) : -1;
      if (isBatch && number > snapshot.number()) {
        gap |= number != nextBatch;
        if (gap) {
          // An earlier batch was not stored, so nothing that depended on this batch was executed.
          orphanBatches.add(new Condition(e.key(), e.revision()));
          continue;
        }
        records.addAll(WorkflowCodec.decode(e.value()));
        nextBatch++;
      } else if (isBatch || StoreKeys.isSnapshotPart(e.key()) && number != snapshot.number()) {
        obsoleteKeys.add(e.key());
      }
    }
    long headRevision = headEntry == null ? SharedStore.ABSENT : headEntry.revision();
    return new History(
        records,
        nextBatch,
        snapshot.number() + 1,
        partKeys,
        headRevision,
        orphanBatches,
        obsoleteKeys);
  }
}
