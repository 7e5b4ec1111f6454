package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.SharedStore.Condition;
import dev.dandelionport.core.port.SharedStore.Transaction;
import dev.dandelionport.core.port.SharedStore.Write;
import dev.dandelionport.core.workflow.WorkflowRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Writes snapshots, each of which replaces the batches of the journal up to a number and the former
 * snapshot: first the parts, then the head that refers to them. Guarded by the owner's shard.
 */
final class SnapshotWriter {

  private static final long RETRY_MILLIS = 60;

  /**
   * A snapshot that is being written.
   *
   * @param number number of the last batch that it replaces
   * @param onReplaced receives the keys that it replaces, once it is written
   */
  private record Snapshot(
      long number, List<byte[]> parts, List<String> keys, Consumer<List<String>> onReplaced) {}

  private final DispatchContext context;
  private final Shard shard;
  private final OwnerTransactions transactions;
  private List<String> partKeys;
  private long headRevision;

  /** Number of the first batch that the next snapshot replaces. */
  private long firstBatch;

  private boolean inProgress;

  /** Creates a writer that continues a stored history. */
  SnapshotWriter(
      DispatchContext context,
      Shard shard,
      OwnerTransactions transactions,
      HistoryReader.History history) {
    this.context = context;
    this.shard = shard;
    this.transactions = transactions;
    this.partKeys = history.partKeys();
    this.headRevision = history.headRevision();
    this.firstBatch = history.firstBatch();
  }

  boolean isInProgress() {
    return inProgress;
  }

  /** Writes a snapshot that replaces all batches up to {@code number}. */
  void write(long number, List<WorkflowRecord> records, Consumer<List<String>> onReplaced) {
    inProgress = true;
    List<byte[]> parts = SnapshotParts.split(records);
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < parts.size(); i++) {
      keys.add(StoreKeys.snapshotPart(number, i));
    }
    writePart(new Snapshot(number, parts, keys, onReplaced), 0);
  }

  private void writePart(Snapshot s, int i) {
    if (i == s.parts().size()) {
      writeHead(s);
      return;
    }
    commit(
        s.keys().get(i),
        SharedStore.ABSENT,
        s.parts().get(i),
        revision -> writePart(s, i + 1),
        () -> writePart(s, i));
  }

  private void writeHead(Snapshot s) {
    commit(
        StoreKeys.SNAPSHOT_HEAD,
        headRevision,
        SnapshotHead.encode(s.number(), s.parts().size()),
        revision -> {
          headRevision = revision;
          replaced(s);
        },
        () -> writeHead(s));
  }

  /**
   * Writes a key whose present revision is given. A transaction without an answer may be applied
   * late; the condition keeps it from overwriting a newer snapshot.
   */
  private void commit(
      String key, long revision, byte[] value, Consumer<Long> onStored, Runnable retry) {
    Transaction t =
        new Transaction(
            List.of(transactions.isOwner(), new Condition(key, revision)),
            List.of(new Write(key, value, SharedStore.NO_LEASE)),
            List.of());
    transactions.commit(t, key, onStored::accept, () -> transactions.schedule(RETRY_MILLIS, retry));
  }

  private void replaced(Snapshot s) {
    inProgress = false;
    List<String> replacedKeys = new ArrayList<>(partKeys);
    for (long n = firstBatch; n <= s.number(); n++) {
      replacedKeys.add(StoreKeys.batch(n));
    }
    partKeys = s.keys();
    firstBatch = s.number() + 1;
    s.onReplaced().accept(replacedKeys);
    shard.runAfterUnlock(
        () ->
            context.report(
                DispatchTopic.SNAPSHOT_WRITTEN, "batch", s.number(), "parts", s.keys().size()));
  }
}
