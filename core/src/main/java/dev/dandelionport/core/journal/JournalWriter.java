package dev.dandelionport.core.journal;

import dev.dandelionport.core.common.RetryDelay;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.SwapResult;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Appends the records of one partition to the store in batches, at most one write at a time; a
 * batch takes everything that has arrived since the one before. All methods are called with the
 * partition's shard locked; store calls are made after it is unlocked.
 */
public final class JournalWriter {

  /** What the owner of the journal is told, with the shard locked. */
  public interface Listener {
    /** Another owner has written the next batch; this writer has stopped. */
    void fenced();

    /** A batch became durable {@code millis} after its write began. */
    void committed(int records, long millis);

    /** A snapshot of this many parts replaced the batches before it. */
    void snapshotWritten(int parts);

    /** A value in the store cannot be understood; this writer has stopped. */
    void unreadable(String message);
  }

  /** Most bytes of records in one value; the store takes 1 MB. */
  public static final int MAX_BATCH_BYTES = 900_000;

  /** Bytes of batches after which a snapshot is due, unless the last one was larger. */
  static final long SNAPSHOT_INTERVAL_BYTES = 1 << 20;

  /** Batches after which a snapshot is due; bounds the keys that a replay reads. */
  static final int SNAPSHOT_INTERVAL_BATCHES = 500;

  /** Bytes that may wait to be written; the owner takes no new work beyond them. */
  private static final long MAX_QUEUED_BYTES = 32 << 20;

  private static final long MIN_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 1_000;

  /** Interval at which a writer without authority looks whether it has it again. */
  private static final long AUTHORITY_POLL_MILLIS = 50;

  private final JournalContext context;
  private final Shard shard;
  private final WriteBudget budget;
  private final BooleanSupplier hasAuthority;
  private final Listener listener;
  private final RetryDelay retryDelay;
  private final Deque<QueueEntry> queue = new ArrayDeque<>();
  private long nextNumber;
  private long queuedBytes;
  private long bytesSinceSnapshot;
  private int batchesSinceSnapshot;
  private long lastSnapshotBytes;
  private boolean snapshotInProgress;
  private boolean writeInProgress;
  private boolean writeScheduled;
  private long writeStartNanos;
  private volatile boolean closed;

  private record QueueEntry(
      List<byte[]> records, long bytes, Runnable onCommit, List<JournalRecord> snapshotRecords) {}

  private record BatchWrite(long number, byte[] value, int recordCount, List<QueueEntry> entries) {}

  /**
   * Creates a writer that goes on after {@code found}.
   *
   * @param hasAuthority whether the owner has authority; checked before a write leaves and before a
   *     commit is reported
   */
  public JournalWriter(
      JournalContext context,
      Shard shard,
      WriteBudget budget,
      BooleanSupplier hasAuthority,
      RecoveredJournal recovered,
      Listener listener) {
    this.context = context;
    this.shard = shard;
    this.budget = budget;
    this.hasAuthority = hasAuthority;
    this.listener = listener;
    this.retryDelay =
        new RetryDelay(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS, context.writerId().hashCode());
    this.nextNumber = recovered.nextNumber();
    this.batchesSinceSnapshot = recovered.batchCount();
    this.bytesSinceSnapshot = recovered.batchBytes();
    this.lastSnapshotBytes = recovered.snapshotBytes();
  }

  /** Appends records and calls {@code onCommit} once they and all before them are durable. */
  public void append(List<JournalRecord> records, Runnable onCommit) {
    if (closed) {
      return;
    }
    List<byte[]> chunk = new ArrayList<>();
    long bytes = 0;
    for (JournalRecord record : records) {
      byte[] encoded = JournalCodec.encode(record);
      if (!chunk.isEmpty() && bytes + JournalCodec.framedBytes(encoded) > MAX_BATCH_BYTES) {
        enqueue(new QueueEntry(chunk, bytes, () -> {}, null));
        chunk = new ArrayList<>();
        bytes = 0;
      }
      chunk.add(encoded);
      bytes += JournalCodec.framedBytes(encoded);
    }
    enqueue(new QueueEntry(chunk, bytes, onCommit, null));
    writeNext();
  }

  private void enqueue(QueueEntry entry) {
    queue.add(entry);
    queuedBytes += entry.bytes();
  }

  /** Returns whether so much has been written since the last snapshot that a new one is due. */
  public boolean isSnapshotDue() {
    return !snapshotInProgress
        && !closed
        && (bytesSinceSnapshot >= Math.max(SNAPSHOT_INTERVAL_BYTES, lastSnapshotBytes)
            || batchesSinceSnapshot >= SNAPSHOT_INTERVAL_BATCHES);
  }

  /**
   * Writes a snapshot. Its records must describe the state after everything appended so far; it is
   * written once that is durable.
   */
  public void appendSnapshot(Supplier<List<JournalRecord>> state) {
    snapshotInProgress = true;
    queue.add(new QueueEntry(List.of(), 0, () -> {}, state.get()));
    writeNext();
  }

  /** Returns whether everything appended is durable. */
  public boolean isIdle() {
    return queue.isEmpty() && !writeInProgress;
  }

  /** Returns whether no more may be appended until the store has taken what waits. */
  public boolean isFull() {
    return queuedBytes >= MAX_QUEUED_BYTES;
  }

  /** Returns how long the present write has been waiting for the store, in milliseconds. */
  public long pendingWriteMillis() {
    return writeInProgress ? (context.time().monotonicNanos() - writeStartNanos) / 1_000_000 : 0;
  }

  /** Stops writing; appended records that are not durable are given up. */
  public void close() {
    closed = true;
    queue.clear();
  }

  private void writeNext() {
    if (writeInProgress || writeScheduled || closed) {
      return;
    }
    while (!queue.isEmpty() && queue.peek().records().isEmpty()) {
      processMarker(queue.poll());
      if (closed || writeInProgress) {
        return;
      }
    }
    if (queue.isEmpty()) {
      return;
    }
    long waitMillis =
        hasAuthority.getAsBoolean() ? budget.takeTokenOrWaitMillis() : AUTHORITY_POLL_MILLIS;
    if (waitMillis > 0) {
      writeScheduled = true;
      schedule(
          waitMillis,
          () -> {
            writeScheduled = false;
            writeNext();
          });
      return;
    }
    writeInProgress = true;
    writeStartNanos = context.time().monotonicNanos();
    send(nextBatch());
  }

  private BatchWrite nextBatch() {
    List<QueueEntry> entries = new ArrayList<>();
    List<byte[]> records = new ArrayList<>();
    long bytes = 0;
    while (!queue.isEmpty()
        && queue.peek().snapshotRecords() == null
        && (entries.isEmpty() || bytes + queue.peek().bytes() <= MAX_BATCH_BYTES)) {
      QueueEntry entry = queue.poll();
      entries.add(entry);
      records.addAll(entry.records());
      bytes += entry.bytes();
    }
    byte[] value =
        JournalCodec.encodeBatch(nextNumber, context.epoch(), context.writerId(), records);
    return new BatchWrite(nextNumber, value, records.size(), entries);
  }

  private void send(BatchWrite w) {
    shard.runAfterUnlock(
        () -> {
          if (!hasAuthority.getAsBoolean()) {
            context.timer().schedule(AUTHORITY_POLL_MILLIS, () -> shard.run(() -> resend(w)));
            return;
          }
          context
              .store()
              .compareAndSwap(
                  context.keys().batchKey(w.number()),
                  KeyValueStore.ABSENT,
                  w.value(),
                  KeyValueStore.NO_LEASE)
              .whenComplete((r, e) -> shard.run(() -> onWriteCompleted(w, r, e)));
        });
  }

  private void resend(BatchWrite w) {
    if (!closed) {
      send(w);
    }
  }

  private void onWriteCompleted(BatchWrite w, SwapResult r, Throwable e) {
    if (closed) {
      return;
    }
    if (e != null) {
      // The write may have taken effect; read it back before anything else.
      schedule(retryDelay.nextMillis(), () -> readBack(w));
    } else if (r.swapped()) {
      onBatchDurable(w);
    } else {
      checkStoredBatch(w, r.current());
    }
  }

  private void readBack(BatchWrite w) {
    shard.runAfterUnlock(
        () ->
            context
                .store()
                .get(context.keys().batchKey(w.number()))
                .whenComplete((r, e) -> shard.run(() -> readBack(w, r, e))));
  }

  private void readBack(BatchWrite w, Optional<StoreEntry> r, Throwable e) {
    if (closed) {
      return;
    }
    if (e != null) {
      schedule(retryDelay.nextMillis(), () -> readBack(w));
    } else if (r.isEmpty()) {
      // Either it never took effect, or it still will and this one is refused as existing.
      send(w);
    } else {
      checkStoredBatch(w, r);
    }
  }

  private void checkStoredBatch(BatchWrite w, Optional<StoreEntry> entry) {
    JournalBatch stored;
    try {
      stored = entry.map(x -> JournalCodec.decodeBatch(x.value())).orElse(null);
    } catch (JournalException x) {
      closed = true;
      listener.unreadable(x.getMessage());
      return;
    }
    boolean isOwn =
        stored != null
            && stored.number() == w.number()
            && stored.epoch() == context.epoch()
            && stored.writerId().equals(context.writerId());
    if (isOwn) {
      onBatchDurable(w);
    } else {
      closed = true;
      listener.fenced();
    }
  }

  private void onBatchDurable(BatchWrite w) {
    if (!hasAuthority.getAsBoolean()) {
      // Another owner may have replaced this batch by a snapshot, so nothing follows from it now.
      schedule(AUTHORITY_POLL_MILLIS, () -> onBatchDurable(w));
      return;
    }
    retryDelay.reset();
    nextNumber = w.number() + 1;
    batchesSinceSnapshot++;
    bytesSinceSnapshot += w.value().length;
    writeInProgress = false;
    listener.committed(w.recordCount(), millisSince(writeStartNanos));
    for (QueueEntry entry : w.entries()) {
      queuedBytes -= entry.bytes();
      entry.onCommit().run();
    }
    writeNext();
  }

  private long millisSince(long nanos) {
    return (context.time().monotonicNanos() - nanos) / 1_000_000;
  }

  private void processMarker(QueueEntry marker) {
    if (marker.snapshotRecords() != null) {
      startSnapshot(marker.snapshotRecords());
    }
    marker.onCommit().run();
  }

  private void startSnapshot(List<JournalRecord> records) {
    long lastBatchNumber = nextNumber - 1;
    long coveredBytes = bytesSinceSnapshot;
    int coveredBatches = batchesSinceSnapshot;
    SnapshotWriter snapshotWriter =
        new SnapshotWriter(
            context,
            budget,
            hasAuthority,
            () -> closed,
            lastBatchNumber,
            partCount ->
                shard.run(
                    () -> {
                      snapshotInProgress = false;
                      bytesSinceSnapshot -= coveredBytes;
                      batchesSinceSnapshot -= coveredBatches;
                      lastSnapshotBytes = (long) partCount * MAX_BATCH_BYTES / 2;
                      listener.snapshotWritten(partCount);
                    }));
    shard.runAfterUnlock(() -> snapshotWriter.start(records));
  }

  private void schedule(long millis, Runnable action) {
    context
        .timer()
        .schedule(
            millis,
            () ->
                shard.run(
                    () -> {
                      if (!closed) {
                        action.run();
                      }
                    }));
  }
}
