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
  static final long SNAPSHOT_BYTES = 1 << 20;

  /** Batches after which a snapshot is due; bounds the keys that a replay reads. */
  static final int SNAPSHOT_BATCHES = 500;

  /** Bytes that may wait to be written; the owner takes no new work beyond them. */
  private static final long MAX_QUEUED_BYTES = 32 << 20;

  private static final long RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 1_000;

  /** Interval at which a writer without authority looks whether it has it again. */
  private static final long AUTHORITY_MILLIS = 50;

  private final JournalContext target;
  private final Shard shard;
  private final WriteBudget budget;
  private final BooleanSupplier mayAct;
  private final Listener listener;
  private final RetryDelay backoff;
  private final Deque<Pending> queue = new ArrayDeque<>();
  private long nextNumber;
  private long queuedBytes;
  private long bytesSinceSnapshot;
  private int batchesSinceSnapshot;
  private long snapshotBytes;
  private boolean snapshotting;
  private boolean writing;
  private boolean waiting;
  private long writeNanos;
  private volatile boolean closed;

  private record Pending(
      List<byte[]> records, long bytes, Runnable onCommit, List<JournalRecord> snapshot) {}

  private record Write(long number, byte[] value, int records, List<Pending> taken) {}

  /**
   * Creates a writer that goes on after {@code found}.
   *
   * @param mayAct whether the owner has authority; checked before a write leaves and before a
   *     commit is reported
   */
  public JournalWriter(
      JournalContext target,
      Shard shard,
      WriteBudget budget,
      BooleanSupplier mayAct,
      RecoveredJournal found,
      Listener listener) {
    this.target = target;
    this.shard = shard;
    this.budget = budget;
    this.mayAct = mayAct;
    this.listener = listener;
    this.backoff = new RetryDelay(RETRY_MILLIS, MAX_RETRY_MILLIS, target.writerId().hashCode());
    this.nextNumber = found.nextNumber();
    this.batchesSinceSnapshot = found.batches();
    this.bytesSinceSnapshot = found.batchBytes();
    this.snapshotBytes = found.snapshotBytes();
  }

  /** Appends records and calls {@code onCommit} once they and all before them are durable. */
  public void append(List<JournalRecord> records, Runnable onCommit) {
    if (closed) {
      return;
    }
    List<byte[]> part = new ArrayList<>();
    long bytes = 0;
    for (JournalRecord r : records) {
      byte[] b = JournalCodec.encode(r);
      if (!part.isEmpty() && bytes + JournalCodec.framedBytes(b) > MAX_BATCH_BYTES) {
        add(new Pending(part, bytes, () -> {}, null));
        part = new ArrayList<>();
        bytes = 0;
      }
      part.add(b);
      bytes += JournalCodec.framedBytes(b);
    }
    add(new Pending(part, bytes, onCommit, null));
    writeNext();
  }

  private void add(Pending p) {
    queue.add(p);
    queuedBytes += p.bytes();
  }

  /** Returns whether so much has been written since the last snapshot that a new one is due. */
  public boolean isSnapshotDue() {
    return !snapshotting
        && !closed
        && (bytesSinceSnapshot >= Math.max(SNAPSHOT_BYTES, snapshotBytes)
            || batchesSinceSnapshot >= SNAPSHOT_BATCHES);
  }

  /**
   * Writes a snapshot. Its records must describe the state after everything appended so far; it is
   * written once that is durable.
   */
  public void appendSnapshot(Supplier<List<JournalRecord>> state) {
    snapshotting = true;
    queue.add(new Pending(List.of(), 0, () -> {}, state.get()));
    writeNext();
  }

  /** Returns whether everything appended is durable. */
  public boolean isIdle() {
    return queue.isEmpty() && !writing;
  }

  /** Returns whether no more may be appended until the store has taken what waits. */
  public boolean isFull() {
    return queuedBytes >= MAX_QUEUED_BYTES;
  }

  /** Returns how long the present write has been waiting for the store, in milliseconds. */
  public long pendingWriteMillis() {
    return writing ? (target.time().monotonicNanos() - writeNanos) / 1_000_000 : 0;
  }

  /** Stops writing; appended records that are not durable are given up. */
  public void close() {
    closed = true;
    queue.clear();
  }

  private void writeNext() {
    if (writing || waiting || closed) {
      return;
    }
    while (!queue.isEmpty() && queue.peek().records().isEmpty()) {
      reached(queue.poll());
      if (closed || writing) {
        return;
      }
    }
    if (queue.isEmpty()) {
      return;
    }
    long wait = mayAct.getAsBoolean() ? budget.takeTokenOrWaitMillis() : AUTHORITY_MILLIS;
    if (wait > 0) {
      waiting = true;
      later(
          wait,
          () -> {
            waiting = false;
            writeNext();
          });
      return;
    }
    writing = true;
    writeNanos = target.time().monotonicNanos();
    send(take());
  }

  private Write take() {
    List<Pending> taken = new ArrayList<>();
    List<byte[]> records = new ArrayList<>();
    long bytes = 0;
    while (!queue.isEmpty()
        && queue.peek().snapshot() == null
        && (taken.isEmpty() || bytes + queue.peek().bytes() <= MAX_BATCH_BYTES)) {
      Pending p = queue.poll();
      taken.add(p);
      records.addAll(p.records());
      bytes += p.bytes();
    }
    byte[] value = JournalCodec.encodeBatch(nextNumber, target.epoch(), target.writerId(), records);
    return new Write(nextNumber, value, records.size(), taken);
  }

  private void send(Write w) {
    shard.runAfterUnlock(
        () -> {
          if (!mayAct.getAsBoolean()) {
            target.timer().schedule(AUTHORITY_MILLIS, () -> shard.run(() -> resend(w)));
            return;
          }
          target
              .store()
              .compareAndSwap(
                  target.keys().batchKey(w.number()),
                  KeyValueStore.ABSENT,
                  w.value(),
                  KeyValueStore.NO_LEASE)
              .whenComplete((r, e) -> shard.run(() -> written(w, r, e)));
        });
  }

  private void resend(Write w) {
    if (!closed) {
      send(w);
    }
  }

  private void written(Write w, SwapResult r, Throwable e) {
    if (closed) {
      return;
    }
    if (e != null) {
      // The write may have taken effect; read it back before anything else.
      later(backoff.nextMillis(), () -> readBack(w));
    } else if (r.swapped()) {
      confirmed(w);
    } else {
      found(w, r.current());
    }
  }

  private void readBack(Write w) {
    shard.runAfterUnlock(
        () ->
            target
                .store()
                .get(target.keys().batchKey(w.number()))
                .whenComplete((r, e) -> shard.run(() -> readBack(w, r, e))));
  }

  private void readBack(Write w, Optional<StoreEntry> r, Throwable e) {
    if (closed) {
      return;
    }
    if (e != null) {
      later(backoff.nextMillis(), () -> readBack(w));
    } else if (r.isEmpty()) {
      // Either it never took effect, or it still will and this one is refused as existing.
      send(w);
    } else {
      found(w, r);
    }
  }

  private void found(Write w, Optional<StoreEntry> entry) {
    JournalBatch b;
    try {
      b = entry.map(x -> JournalCodec.decodeBatch(x.value())).orElse(null);
    } catch (JournalException x) {
      closed = true;
      listener.unreadable(x.getMessage());
      return;
    }
    boolean own =
        b != null
            && b.number() == w.number()
            && b.epoch() == target.epoch()
            && b.writerId().equals(target.writerId());
    if (own) {
      confirmed(w);
    } else {
      closed = true;
      listener.fenced();
    }
  }

  private void confirmed(Write w) {
    if (!mayAct.getAsBoolean()) {
      // Another owner may have replaced this batch by a snapshot, so nothing follows from it now.
      later(AUTHORITY_MILLIS, () -> confirmed(w));
      return;
    }
    backoff.reset();
    nextNumber = w.number() + 1;
    batchesSinceSnapshot++;
    bytesSinceSnapshot += w.value().length;
    writing = false;
    listener.committed(w.records(), stalledSince(writeNanos));
    for (Pending p : w.taken()) {
      queuedBytes -= p.bytes();
      p.onCommit().run();
    }
    writeNext();
  }

  private long stalledSince(long nanos) {
    return (target.time().monotonicNanos() - nanos) / 1_000_000;
  }

  private void reached(Pending p) {
    if (p.snapshot() != null) {
      startSnapshot(p.snapshot());
    }
    p.onCommit().run();
  }

  private void startSnapshot(List<JournalRecord> records) {
    long covered = nextNumber - 1;
    long bytesBefore = bytesSinceSnapshot;
    int batchesBefore = batchesSinceSnapshot;
    SnapshotWriter s =
        new SnapshotWriter(
            target,
            budget,
            mayAct,
            () -> closed,
            covered,
            parts ->
                shard.run(
                    () -> {
                      snapshotting = false;
                      bytesSinceSnapshot -= bytesBefore;
                      batchesSinceSnapshot -= batchesBefore;
                      snapshotBytes = (long) parts * MAX_BATCH_BYTES / 2;
                      listener.snapshotWritten(parts);
                    }));
    shard.runAfterUnlock(() -> s.start(records));
  }

  private void later(long millis, Runnable action) {
    target
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
