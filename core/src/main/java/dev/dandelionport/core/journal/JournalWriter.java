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
 * Appends the records of one partition to the store in batches. At most one write is in flight; a
 * batch contains the records that were queued during the previous write, up to {@link
 * #MAX_BATCH_BYTES}. All methods must be called with the partition's shard locked; store calls are
 * made after it is unlocked.
 */
public final class JournalWriter {

  /** Callbacks to the owner of the journal, made with the shard locked. */
  public interface Listener {
    /** Called when another owner has written the next batch and this writer has stopped. */
    void fenced();

    /** Called when a batch became durable, {@code millis} milliseconds after its write began. */
    void committed(int records, long millis);

    /**
     * Called when a snapshot of {@code parts} parts replaced the batches before it; 0 parts if the
     * snapshot was not written.
     */
    void snapshotWritten(int parts);

    /** Called when a stored value cannot be decoded and this writer has stopped. */
    void unreadable(String message);
  }

  /** Maximum size of the records in one value, in bytes; the store accepts values up to 1 MB. */
  public static final int MAX_BATCH_BYTES = 900_000;

  /**
   * Minimum bytes of batches between snapshots; the interval grows to the size of the last snapshot
   * if that was larger.
   */
  static final long SNAPSHOT_INTERVAL_BYTES = 1 << 20;

  /** Maximum number of batches between snapshots; bounds the number of keys that a replay reads. */
  static final int SNAPSHOT_INTERVAL_BATCHES = 500;

  /** Maximum bytes of queued records; above it the owner accepts no new work. */
  private static final long MAX_QUEUED_BYTES = 32 << 20;

  private static final long MIN_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 1_000;

  /** Interval at which a writer without authority checks whether it has regained it. */
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
   * Creates a writer that continues the journal after the batches in {@code recovered}.
   *
   * @param hasAuthority returns whether the owner has authority; checked before each write is sent
   *     and before a commit is reported
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

  /** Appends records and calls {@code onCommit} once they and all earlier records are durable. */
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

  /** Returns whether enough has been written since the last snapshot for a new one to be due. */
  public boolean isSnapshotDue() {
    return !snapshotInProgress
        && !closed
        && (bytesSinceSnapshot >= Math.max(SNAPSHOT_INTERVAL_BYTES, lastSnapshotBytes)
            || batchesSinceSnapshot >= SNAPSHOT_INTERVAL_BATCHES);
  }

  /**
   * Writes a snapshot once everything appended so far is durable. {@code state} must return the
   * records that describe the state after those appends.
   */
  public void appendSnapshot(Supplier<List<JournalRecord>> state) {
    snapshotInProgress = true;
    queue.add(new QueueEntry(List.of(), 0, () -> {}, state.get()));
    writeNext();
  }

  /** Returns whether all appended records are durable. */
  public boolean isIdle() {
    return queue.isEmpty() && !writeInProgress;
  }

  /**
   * Returns whether the queue is full, so that nothing may be appended until the store has accepted
   * queued records.
   */
  public boolean isFull() {
    return queuedBytes >= MAX_QUEUED_BYTES;
  }

  /**
   * Returns how long the write in flight has been waiting for the store, in milliseconds; 0 if
   * there is none.
   */
  public long pendingWriteMillis() {
    return writeInProgress ? (context.time().monotonicNanos() - writeStartNanos) / 1_000_000 : 0;
  }

  /** Stops writing. Discards queued records and ignores the result of a write in flight. */
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
      // The write may have taken effect, so read the key back before retrying.
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
      // The write never took effect, or is still in flight. Sending it again is safe: if the first
      // one takes effect, the second is rejected because the key exists.
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
      // Another owner may have replaced this batch by a snapshot, so the commit is not reported
      // until authority is regained.
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
