package dev.dandelionport.core.journal;

import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Reads a partition's journal for a new owner and fences the previous owner. */
public final class JournalReader {

  private final JournalContext context;

  /** Creates a reader that acts for the owner described by {@code context}. */
  public JournalReader(JournalContext context) {
    this.context = context;
  }

  /**
   * Reads the newest complete snapshot and the batches after it, and writes an empty batch under
   * the next number to fence the previous owner. A write of that number by the previous owner that
   * is still in flight then fails; if it succeeded first, its batch is read as well. Fails with
   * {@link JournalException} if a value cannot be decoded or a batch is missing, and with {@link
   * JournalFencedException} if an owner with a newer epoch has written, because an empty batch from
   * this owner would fence that newer owner.
   */
  public CompletableFuture<RecoveredJournal> open() {
    return context.store().list(context.keys().prefix()).thenCompose(this::fence);
  }

  private CompletableFuture<RecoveredJournal> fence(List<StoreEntry> entries) {
    RecoveredJournal recovered = recover(entries);
    byte[] fencingBatch =
        JournalCodec.encodeBatch(
            recovered.nextNumber(), context.epoch(), context.writerId(), List.of());
    return context
        .store()
        .compareAndSwap(
            context.keys().batchKey(recovered.nextNumber()),
            KeyValueStore.ABSENT,
            fencingBatch,
            KeyValueStore.NO_LEASE)
        .thenCompose(
            r ->
                r.swapped()
                    ? CompletableFuture.completedFuture(
                        new RecoveredJournal(
                            recovered.records(),
                            recovered.nextNumber() + 1,
                            recovered.batchCount() + 1,
                            recovered.batchBytes(),
                            recovered.snapshotBytes()))
                    : open());
  }

  private RecoveredJournal recover(List<StoreEntry> entries) {
    List<StoreEntry> snapshot = newestCompleteSnapshot(entries);
    List<JournalRecord> records = new ArrayList<>();
    long lastNumber = 0;
    long snapshotBytes = 0;
    for (StoreEntry e : snapshot) {
      SnapshotPart p = JournalCodec.decodePart(e.value());
      checkEpoch(p.epoch());
      records.addAll(p.records());
      lastNumber = p.lastBatchNumber();
      snapshotBytes += e.value().length;
    }
    int batchCount = 0;
    long batchBytes = 0;
    for (StoreEntry e : entries) {
      if (e.key().startsWith(context.keys().allBatchesPrefix())
          && e.key().compareTo(context.keys().batchKey(lastNumber)) > 0) {
        JournalBatch b = JournalCodec.decodeBatch(e.value());
        if (b.number() != lastNumber + 1) {
          throw new JournalException(
              "journal " + context.keys().prefix() + " lacks batch " + (lastNumber + 1), null);
        }
        checkEpoch(b.epoch());
        records.addAll(b.records());
        lastNumber = b.number();
        batchCount++;
        batchBytes += e.value().length;
      }
    }
    return new RecoveredJournal(records, lastNumber + 1, batchCount, batchBytes, snapshotBytes);
  }

  private void checkEpoch(long writtenEpoch) {
    if (writtenEpoch > context.epoch()) {
      throw new JournalFencedException(
          String.format(
              "journal %s contains a value of epoch %d, newer than epoch %d of this owner",
              context.keys().prefix(), writtenEpoch, context.epoch()));
    }
  }

  /**
   * Returns the parts of the newest snapshot that has all its parts, or an empty list if there is
   * none.
   */
  private List<StoreEntry> newestCompleteSnapshot(List<StoreEntry> entries) {
    TreeMap<String, List<StoreEntry>> partsBySnapshot = new TreeMap<>();
    for (StoreEntry e : entries) {
      if (e.key().startsWith(context.keys().allSnapshotsPrefix())) {
        String name = e.key().substring(0, e.key().lastIndexOf('-'));
        partsBySnapshot.computeIfAbsent(name, n -> new ArrayList<>()).add(e);
      }
    }
    for (Map.Entry<String, List<StoreEntry>> s : partsBySnapshot.descendingMap().entrySet()) {
      List<StoreEntry> parts = s.getValue();
      if (JournalCodec.decodePart(parts.get(0).value()).partCount() == parts.size()) {
        return parts;
      }
    }
    return List.of();
  }
}
