package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.SharedStore.Committed;
import dev.dandelionport.core.port.SharedStore.Condition;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.port.SharedStore.Outcome;
import dev.dandelionport.core.port.SharedStore.Rejected;
import dev.dandelionport.core.port.SharedStore.Transaction;
import dev.dandelionport.core.port.SharedStore.Write;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Writes records to the store in numbered batches, one transaction at a time. Each demands that the
 * instance still is the owner and that the batch does not exist yet, so a former owner can add
 * nothing and a repeated transaction is carried out once. Guarded by the owner's shard.
 */
final class WorkflowJournal {

  /** Shortest time between two batches, in milliseconds; bounds the store's writes. */
  private static final long GAP_MILLIS = 10;

  private static final long RETRY_MILLIS = 60;

  /** Batches after which a snapshot replaces them. */
  private static final int SNAPSHOT_BATCHES = 600;

  /** Bytes of a snapshot's part. */
  private static final int PART_BYTES = 256 << 10;

  /** Records that a part is tried with; a record takes up to about 5 KB. */
  private static final int PART_RECORDS = 500;

  /** Age of a batch from which it is reported as slow, in milliseconds. */
  private static final long SLOW_MILLIS = 400;

  /** Two conditions and one write leave this many deletions in a batch's transaction. */
  private static final int DELETES = SharedStore.MAX_TRANSACTION - 3;

  /** Something that waits for the batch that is collected. */
  interface Durable {
    void run();
  }

  private final DispatchContext context;
  private final Shard shard;
  private final long ownerRevision;
  private final Runnable fenced;
  private final Deque<String> obsolete = new ArrayDeque<>();
  private List<WorkflowRecord> records = new ArrayList<>();
  private List<Durable> waiting = new ArrayList<>();
  private long next;
  private long batchesSinceSnapshot;
  private boolean writing;
  private boolean scheduled;
  private boolean stopped;
  private long lastWriteMillis;
  private long failingSinceMillis;
  private List<String> lastParts;

  /** The batches that a snapshot will replace once its head is written. */
  private long firstBatch;

  /**
   * Creates a journal.
   *
   * @param ownerRevision revision of the owner's key
   * @param first number of the first batch that is written
   * @param firstKept number of the oldest batch in the store
   * @param parts keys of the present snapshot
   * @param obsolete keys that nothing refers to any more
   * @param fenced called when another instance is the owner
   */
  WorkflowJournal(
      DispatchContext context,
      Shard shard,
      long ownerRevision,
      long first,
      long firstKept,
      List<String> parts,
      List<String> obsolete,
      Runnable fenced) {
    this.context = context;
    this.shard = shard;
    this.ownerRevision = ownerRevision;
    this.next = first;
    this.firstBatch = firstKept;
    this.batchesSinceSnapshot = first - firstKept;
    this.lastParts = new ArrayList<>(parts);
    this.obsolete.addAll(obsolete);
    this.fenced = fenced;
  }

  void stop() {
    stopped = true;
  }

  /** Returns since when writes fail, on the steady clock; 0 if they do not. */
  long failingSinceMillis() {
    return failingSinceMillis;
  }

  boolean isIdle() {
    return !writing && records.isEmpty() && waiting.isEmpty();
  }

  /** Adds records; {@code durable} runs under the shard's lock once they are stored. */
  void append(List<WorkflowRecord> more, Durable durable) {
    if (stopped) {
      // Nothing is durable any more: the next owner must hear of it from the runners.
      return;
    }
    if (more.isEmpty() && !writing && records.isEmpty()) {
      durable.run();
      return;
    }
    records.addAll(more);
    waiting.add(durable);
    writeSoon();
  }

  private void writeSoon() {
    if (writing || scheduled || stopped) {
      return;
    }
    long wait = lastWriteMillis + GAP_MILLIS - context.nowMillis();
    if (wait <= 0) {
      write();
      return;
    }
    scheduled = true;
    shard.afterwards(
        () ->
            context
                .timer()
                .schedule(
                    wait,
                    () ->
                        shard.run(
                            () -> {
                              scheduled = false;
                              if (!writing && !stopped) {
                                write();
                              }
                            })));
  }

  private void write() {
    if (records.isEmpty()) {
      List<Durable> done = waiting;
      waiting = new ArrayList<>();
      done.forEach(Durable::run);
      return;
    }
    writing = true;
    lastWriteMillis = context.nowMillis();
    final List<Durable> done = waiting;
    byte[] bytes = WorkflowCodec.encode(records);
    records = new ArrayList<>();
    waiting = new ArrayList<>();
    List<String> deletes = new ArrayList<>();
    while (!obsolete.isEmpty() && deletes.size() < DELETES) {
      deletes.add(obsolete.poll());
    }
    String key = StoreKeys.batch(next);
    send(
        new Transaction(
            List.of(
                new Condition(StoreKeys.OWNER, ownerRevision),
                new Condition(key, SharedStore.ABSENT)),
            List.of(new Write(key, bytes, SharedStore.NO_LEASE)),
            deletes),
        key,
        () -> {
          next++;
          batchesSinceSnapshot++;
          writing = false;
          done.forEach(Durable::run);
          if (!records.isEmpty() || !waiting.isEmpty()) {
            writeSoon();
          }
        });
  }

  /** Sends a transaction until its fate is known. */
  private void send(Transaction t, String key, Runnable done) {
    long sent = context.nowMillis();
    shard.afterwards(
        () ->
            context
                .store()
                .commit(t)
                .whenComplete((o, e) -> shard.run(() -> answered(t, key, done, o, e, sent))));
  }

  private void answered(
      Transaction t, String key, Runnable done, Outcome o, Throwable e, long sent) {
    if (stopped) {
      return;
    }
    long now = context.nowMillis();
    if (e != null) {
      failingSinceMillis = failingSinceMillis == 0 ? now : failingSinceMillis;
      shard.afterwards(
          () ->
              context
                  .timer()
                  .schedule(
                      RETRY_MILLIS,
                      () ->
                          shard.run(
                              () -> {
                                if (!stopped) {
                                  send(t, key, done);
                                }
                              })));
      return;
    }
    if (o instanceof Committed || o instanceof Rejected r && isOwn(r, key)) {
      if (failingSinceMillis > 0 || now - sent > SLOW_MILLIS) {
        long millis = failingSinceMillis > 0 ? now - failingSinceMillis : now - sent;
        shard.afterwards(() -> context.report(DispatchTopic.BATCH_SLOW, "millis", millis));
      }
      failingSinceMillis = 0;
      done.run();
    } else {
      stopped = true;
      fenced.run();
    }
  }

  /** Returns whether an earlier try, whose answer was lost, was carried out. */
  private boolean isOwn(Rejected r, String key) {
    boolean owner = false;
    boolean written = false;
    for (Entry x : r.current()) {
      owner |= x.key().equals(StoreKeys.OWNER) && x.revision() == ownerRevision;
      written |= x.key().equals(key) && x.revision() != SharedStore.ABSENT;
    }
    return owner && written;
  }

  /** Returns whether enough batches were written for a snapshot, and none is under way. */
  boolean wantsSnapshot() {
    return batchesSinceSnapshot >= SNAPSHOT_BATCHES && isIdle() && !stopped;
  }

  /** Writes a snapshot of all batches so far, then lets later batches delete what it replaces. */
  void snapshot(List<WorkflowRecord> all) {
    batchesSinceSnapshot = 0;
    writing = true;
    long number = next - 1;
    List<byte[]> parts = split(all);
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < parts.size(); i++) {
      keys.add(StoreKeys.part(number, i));
    }
    writePart(number, parts, keys, 0);
  }

  private static List<byte[]> split(List<WorkflowRecord> all) {
    List<byte[]> parts = new ArrayList<>();
    int from = 0;
    int step = PART_RECORDS;
    while (from < all.size()) {
      int to = Math.min(all.size(), from + step);
      byte[] bytes = WorkflowCodec.encode(all.subList(from, to));
      if (bytes.length > PART_BYTES && to - from > 1) {
        step = Math.max(1, (to - from) / 2);
        continue;
      }
      parts.add(bytes);
      from = to;
      step = PART_RECORDS;
    }
    return parts;
  }

  private void writePart(long number, List<byte[]> parts, List<String> keys, int i) {
    boolean last = i == parts.size();
    String key = last ? StoreKeys.HEAD : keys.get(i);
    byte[] value = last ? SnapshotHead.encode(number, parts.size()) : parts.get(i);
    Transaction t =
        new Transaction(
            List.of(new Condition(StoreKeys.OWNER, ownerRevision)),
            List.of(new Write(key, value, SharedStore.NO_LEASE)),
            List.of());
    send(
        t,
        key,
        () -> {
          if (!last) {
            writePart(number, parts, keys, i + 1);
            return;
          }
          writing = false;
          obsolete.addAll(lastParts);
          lastParts = keys;
          for (long n = firstBatch; n <= number; n++) {
            obsolete.add(StoreKeys.batch(n));
          }
          firstBatch = number + 1;
          shard.afterwards(
              () -> context.report(DispatchTopic.SNAPSHOT, "batch", number, "parts", parts.size()));
          if (!records.isEmpty() || !waiting.isEmpty()) {
            writeSoon();
          }
        });
  }
}
