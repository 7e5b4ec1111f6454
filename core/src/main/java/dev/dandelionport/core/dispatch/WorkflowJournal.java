package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.SharedStore.Condition;
import dev.dandelionport.core.port.SharedStore.Transaction;
import dev.dandelionport.core.port.SharedStore.Write;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Writes records to the store in numbered batches. Each transaction requires that the instance
 * still is the owner and that the batch does not exist yet, so a former owner cannot append
 * anything and a retried transaction is applied only once. Several batches may be in flight.
 * Callbacks of a batch run only after all earlier batches are stored, and batches after a missing
 * one are ignored. Guarded by the owner's shard.
 */
final class WorkflowJournal {

  /** Shortest time between two batches, in milliseconds; bounds the store's write rate. */
  private static final long WRITE_INTERVAL_MILLIS = 10;

  /**
   * Shortest time between two batches while one is in flight, because the store is slow, in
   * milliseconds.
   */
  private static final long BUSY_WRITE_INTERVAL_MILLIS = 20;

  /** Maximum number of batches in flight. */
  private static final int MAX_IN_FLIGHT = 8;

  private static final long RETRY_MILLIS = 60;

  /** Number of batches after which a snapshot replaces them. */
  private static final int BATCHES_PER_SNAPSHOT = 250;

  /**
   * Operations left for deletions in the transaction of a batch besides its two conditions and one
   * write.
   */
  private static final int MAX_DELETES = SharedStore.MAX_TRANSACTION_OPERATIONS - 3;

  private static final class Batch {
    final Transaction transaction;
    final String key;
    final List<Runnable> onDurable;
    final int recordCount;
    final long writtenMillis;
    boolean stored;
    boolean sending;

    Batch(
        Transaction t, String key, List<Runnable> onDurable, int recordCount, long writtenMillis) {
      this.transaction = t;
      this.key = key;
      this.onDurable = onDurable;
      this.recordCount = recordCount;
      this.writtenMillis = writtenMillis;
    }
  }

  private final DispatchContext context;
  private final OwnerTransactions transactions;
  private final SnapshotWriter snapshots;
  private final Deque<Condition> orphanBatches = new ArrayDeque<>();
  private final Deque<String> obsoleteKeys = new ArrayDeque<>();
  private final Deque<Batch> inFlight = new ArrayDeque<>();
  private List<WorkflowRecord> records = new ArrayList<>();
  private List<Runnable> onDurable = new ArrayList<>();
  private long appendedRecords;
  private long sentRecords;
  private long nextBatch;
  private long batchesSinceSnapshot;
  private boolean firstWritePending = true;
  private boolean writeScheduled;
  private long lastWriteMillis;

  /**
   * Creates a journal.
   *
   * @param ownerRevision revision of the owner's key
   * @param history the stored history
   * @param onFenced called when another instance is the owner
   */
  WorkflowJournal(
      DispatchContext context,
      Shard shard,
      long ownerRevision,
      HistoryReader.History history,
      Runnable onFenced) {
    this.context = context;
    this.transactions =
        new OwnerTransactions(context, shard, ownerRevision, onFenced, inFlight::size);
    this.snapshots = new SnapshotWriter(context, shard, transactions, history);
    this.nextBatch = history.nextBatch();
    this.batchesSinceSnapshot = nextBatch - history.firstBatch();
    this.orphanBatches.addAll(history.orphanBatches());
    this.obsoleteKeys.addAll(history.obsoleteKeys());
  }

  void stop() {
    transactions.stop();
  }

  /** Returns whether the latest write failed or got no answer. */
  boolean isFailing() {
    return transactions.isFailing();
  }

  boolean isIdle() {
    return inFlight.isEmpty() && records.isEmpty() && onDurable.isEmpty();
  }

  /** Returns the number of records appended so far. */
  long appendedRecords() {
    return appendedRecords;
  }

  /**
   * Returns the number of appended records that may be in the store. A stopped journal sends no
   * further ones, so the others are certainly never stored.
   */
  long sentRecords() {
    return sentRecords;
  }

  /**
   * Returns the time for which a batch has waited while the store has accepted no write, in
   * milliseconds; 0 if none waits. A single lost answer does not count while later writes are
   * stored.
   */
  long blockedMillis() {
    Batch oldest = inFlight.peek();
    return oldest == null
        ? 0
        : context.nowMillis() - Math.max(oldest.writtenMillis, transactions.lastStoredMillis());
  }

  /** Returns the size and age of the data that is not stored yet. */
  JournalBacklog backlog() {
    int n = records.size();
    for (Batch b : inFlight) {
      n += b.recordCount;
    }
    Batch oldest = inFlight.peek();
    long ageMillis = oldest == null ? 0 : context.nowMillis() - oldest.writtenMillis;
    return new JournalBacklog(inFlight.size(), n, ageMillis);
  }

  /** Appends records; {@code durable} runs under the shard's lock once they are stored. */
  void append(List<WorkflowRecord> newRecords, Runnable callback) {
    if (transactions.isStopped()) {
      // A stopped journal makes nothing durable: the next owner must receive the ends from the
      // runners.
      return;
    }
    if (newRecords.isEmpty() && records.isEmpty()) {
      if (inFlight.isEmpty()) {
        callback.run();
      } else {
        inFlight.getLast().onDurable.add(callback);
      }
      return;
    }
    records.addAll(newRecords);
    appendedRecords += newRecords.size();
    onDurable.add(callback);
    scheduleWrite();
  }

  private void scheduleWrite() {
    // Orphan batches of a former owner must be deleted before their numbers are used again.
    int maxInFlight = firstWritePending || !orphanBatches.isEmpty() ? 1 : MAX_IN_FLIGHT;
    if (writeScheduled
        || transactions.isStopped()
        || records.isEmpty()
        || inFlight.size() >= maxInFlight) {
      return;
    }
    long intervalMillis = inFlight.isEmpty() ? WRITE_INTERVAL_MILLIS : BUSY_WRITE_INTERVAL_MILLIS;
    long waitMillis = lastWriteMillis + intervalMillis - context.nowMillis();
    if (waitMillis <= 0) {
      write();
      return;
    }
    writeScheduled = true;
    transactions.schedule(
        waitMillis,
        () -> {
          writeScheduled = false;
          scheduleWrite();
        });
  }

  private void write() {
    lastWriteMillis = context.nowMillis();
    sentRecords = appendedRecords;
    final byte[] bytes = WorkflowCodec.encode(records);
    String key = StoreKeys.batch(nextBatch++);
    List<Condition> conditions = new ArrayList<>();
    conditions.add(transactions.isOwner());
    conditions.add(new Condition(key, SharedStore.ABSENT));
    List<String> deletes = new ArrayList<>();
    // An attempt without an answer may be applied late, when a snapshot has already replaced this
    // batch. The condition keeps it from deleting a batch that has reused an orphan's number by
    // then.
    while (!orphanBatches.isEmpty() && 2 * deletes.size() + 2 <= MAX_DELETES) {
      conditions.add(orphanBatches.peek());
      deletes.add(orphanBatches.poll().key());
    }
    while (!obsoleteKeys.isEmpty() && deletes.size() + conditions.size() - 2 < MAX_DELETES) {
      deletes.add(obsoleteKeys.poll());
    }
    Transaction t =
        new Transaction(conditions, List.of(new Write(key, bytes, SharedStore.NO_LEASE)), deletes);
    Batch b = new Batch(t, key, onDurable, records.size(), lastWriteMillis);
    records = new ArrayList<>();
    onDurable = new ArrayList<>();
    inFlight.add(b);
    send(b);
  }

  private void send(Batch b) {
    b.sending = true;
    transactions.commit(
        b.transaction,
        b.key,
        revision -> {
          b.stored = true;
          batchesSinceSnapshot++;
          firstWritePending = false;
          completeStored();
        },
        () -> {
          b.sending = false;
          // Only the oldest batch is retried while the store fails.
          transactions.schedule(
              RETRY_MILLIS,
              () -> {
                if (b == inFlight.peek() && !b.sending && !b.stored) {
                  send(b);
                }
              });
        });
  }

  private void completeStored() {
    while (!inFlight.isEmpty() && inFlight.peek().stored) {
      inFlight.poll().onDurable.forEach(Runnable::run);
    }
    for (Batch b : inFlight) {
      if (!b.sending && !b.stored) {
        send(b);
      }
    }
    scheduleWrite();
  }

  /** Returns whether enough batches were written for a snapshot and none is in progress. */
  boolean isSnapshotDue() {
    // Before this owner's first batch, a snapshot would use the number, and so the keys, of an
    // unfinished snapshot of a former owner, whose parts the first batches delete.
    return !firstWritePending
        && batchesSinceSnapshot >= BATCHES_PER_SNAPSHOT
        && isIdle()
        && !snapshots.isInProgress()
        && !transactions.isStopped();
  }

  /** Writes a snapshot of all batches so far; later batches then delete what it replaces. */
  void writeSnapshot(List<WorkflowRecord> snapshotRecords) {
    batchesSinceSnapshot = 0;
    snapshots.write(nextBatch - 1, snapshotRecords, obsoleteKeys::addAll);
  }
}
