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
 * Reads snapshot and batches. Called by an owner whose key is written, so that nobody else changes
 * them meanwhile.
 */
final class HistoryReader {

  /**
   * What was read.
   *
   * @param records facts in order
   * @param nextBatch number of the next batch
   * @param firstBatch number of the oldest batch in the store
   * @param parts keys of the snapshot
   * @param headRevision revision of the key that names the snapshot
   * @param leftovers batches that do not count and whose numbers will be used again, with their
   *     revisions, in the order of their numbers
   * @param obsolete keys that nothing refers to any more and that are never used again
   */
  record History(
      List<WorkflowRecord> records,
      long nextBatch,
      long firstBatch,
      List<String> parts,
      long headRevision,
      List<Condition> leftovers,
      List<String> obsolete) {}

  private HistoryReader() {}

  /** Reads all; fails if the store does not answer or a snapshot lacks a part. */
  static CompletableFuture<History> read(SharedStore store) {
    return store.listAll(StoreKeys.HISTORY).thenApply(p -> decode(p.entries()));
  }

  private static History decode(List<Entry> entries) {
    TreeMap<String, Entry> all = new TreeMap<>();
    entries.forEach(e -> all.put(e.key(), e));
    Entry head = all.get(StoreKeys.HEAD);
    SnapshotHead h = head == null ? new SnapshotHead(0, 0) : SnapshotHead.decode(head.value());
    final List<WorkflowRecord> records = new ArrayList<>();
    final List<String> parts = new ArrayList<>();
    final List<Condition> leftovers = new ArrayList<>();
    final List<String> obsolete = new ArrayList<>();
    for (int i = 0; i < h.parts(); i++) {
      Entry e = all.get(StoreKeys.part(h.number(), i));
      if (e == null) {
        throw new IllegalStateException("snapshot " + h.number() + " lacks part " + i);
      }
      parts.add(e.key());
      records.addAll(WorkflowCodec.decode(e.value()));
    }
    long next = h.number() + 1;
    boolean hole = false;
    for (Entry e : all.values()) {
      boolean batch = StoreKeys.isBatch(e.key());
      long number = batch || StoreKeys.isPart(e.key()) ? StoreKeys.number(e.key()) : -1;
      if (batch && number > h.number()) {
        hole |= number != next;
        if (hole) {
          // Nothing that waited for this batch was done, because an earlier one was not stored.
          leftovers.add(new Condition(e.key(), e.revision()));
          continue;
        }
        records.addAll(WorkflowCodec.decode(e.value()));
        next++;
      } else if (batch || StoreKeys.isPart(e.key()) && number != h.number()) {
        obsolete.add(e.key());
      }
    }
    long headRevision = head == null ? SharedStore.ABSENT : head.revision();
    return new History(records, next, h.number() + 1, parts, headRevision, leftovers, obsolete);
  }
}
