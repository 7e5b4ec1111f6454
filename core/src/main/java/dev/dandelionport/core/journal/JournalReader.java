package dev.dandelionport.core.journal;

import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Reads a partition's journal for a new owner and fences the former one. */
public final class JournalReader {

  private final JournalContext target;

  /** Creates a reader for the owner that {@code target} describes. */
  public JournalReader(JournalContext target) {
    this.target = target;
  }

  /**
   * Reads the newest complete snapshot and the batches after it, and writes an empty batch at the
   * next number. A former owner whose write of that number is still under way loses it; if the
   * former owner was faster, its batch is read as well. Fails with {@link JournalException} if a
   * value cannot be decoded or a batch is missing, and with {@link JournalFencedException} if an
   * owner of a newer epoch has written; a mark of this one would fence that owner.
   */
  public CompletableFuture<RecoveredJournal> open() {
    return target.store().list(target.keys().prefix()).thenCompose(this::fence);
  }

  private CompletableFuture<RecoveredJournal> fence(List<StoreEntry> entries) {
    RecoveredJournal found = recover(entries);
    byte[] mark =
        JournalCodec.encodeBatch(found.nextNumber(), target.epoch(), target.writerId(), List.of());
    return target
        .store()
        .compareAndSwap(
            target.keys().batchKey(found.nextNumber()),
            KeyValueStore.ABSENT,
            mark,
            KeyValueStore.NO_LEASE)
        .thenCompose(
            r ->
                r.swapped()
                    ? CompletableFuture.completedFuture(
                        new RecoveredJournal(
                            found.records(),
                            found.nextNumber() + 1,
                            found.batches() + 1,
                            found.batchBytes(),
                            found.snapshotBytes()))
                    : open());
  }

  private RecoveredJournal recover(List<StoreEntry> entries) {
    List<StoreEntry> snapshot = newestSnapshot(entries);
    List<JournalRecord> records = new ArrayList<>();
    long last = 0;
    long snapshotBytes = 0;
    for (StoreEntry e : snapshot) {
      SnapshotPart p = JournalCodec.decodePart(e.value());
      checkEpoch(p.epoch());
      records.addAll(p.records());
      last = p.lastBatchNumber();
      snapshotBytes += e.value().length;
    }
    int batches = 0;
    long bytes = 0;
    for (StoreEntry e : entries) {
      if (e.key().startsWith(target.keys().allBatchesPrefix())
          && e.key().compareTo(target.keys().batchKey(last)) > 0) {
        JournalBatch b = JournalCodec.decodeBatch(e.value());
        if (b.number() != last + 1) {
          throw new JournalException(
              "journal " + target.keys().prefix() + " lacks batch " + (last + 1), null);
        }
        checkEpoch(b.epoch());
        records.addAll(b.records());
        last = b.number();
        batches++;
        bytes += e.value().length;
      }
    }
    return new RecoveredJournal(records, last + 1, batches, bytes, snapshotBytes);
  }

  private void checkEpoch(long found) {
    if (found > target.epoch()) {
      throw new JournalFencedException(
          String.format(
              "journal %s was written under epoch %d, after epoch %d",
              target.keys().prefix(), found, target.epoch()));
    }
  }

  /** Returns the parts of the newest snapshot of which no part is missing. */
  private List<StoreEntry> newestSnapshot(List<StoreEntry> entries) {
    TreeMap<String, List<StoreEntry>> byName = new TreeMap<>();
    for (StoreEntry e : entries) {
      if (e.key().startsWith(target.keys().allSnapshotsPrefix())) {
        String name = e.key().substring(0, e.key().lastIndexOf('-'));
        byName.computeIfAbsent(name, n -> new ArrayList<>()).add(e);
      }
    }
    for (Map.Entry<String, List<StoreEntry>> s : byName.descendingMap().entrySet()) {
      List<StoreEntry> parts = s.getValue();
      if (JournalCodec.decodePart(parts.get(0).value()).partCount() == parts.size()) {
        return parts;
      }
    }
    return List.of();
  }
}
