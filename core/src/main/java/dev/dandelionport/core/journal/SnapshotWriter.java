package dev.dandelionport.core.journal;

import dev.dandelionport.core.common.RetryDelay;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.SwapResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/**
 * Writes one snapshot, part by part, and deletes what it replaces once every part is confirmed. The
 * steps follow one another, so the fields need no lock.
 */
final class SnapshotWriter {

  /** Wait between tries while the owner may not write or the store does not answer. */
  private static final long RETRY_MILLIS = 500;

  private static final long MAX_RETRY_MILLIS = 5_000;

  private final JournalContext target;
  private final WriteBudget budget;
  private final BooleanSupplier mayWrite;
  private final BooleanSupplier abandoned;
  private final long number;
  private final IntConsumer onDone;
  private final List<byte[]> parts = new ArrayList<>();
  private final RetryDelay backoff;

  SnapshotWriter(
      JournalContext target,
      WriteBudget budget,
      BooleanSupplier mayWrite,
      BooleanSupplier abandoned,
      long number,
      IntConsumer onDone) {
    this.target = target;
    this.budget = budget;
    this.mayWrite = mayWrite;
    this.abandoned = abandoned;
    this.number = number;
    this.onDone = onDone;
    this.backoff = new RetryDelay(RETRY_MILLIS, MAX_RETRY_MILLIS, target.writerId().hashCode());
  }

  /** Encodes the records and writes the parts. */
  void start(List<JournalRecord> records) {
    List<List<byte[]>> split = split(records);
    for (int i = 0; i < split.size(); i++) {
      parts.add(
          JournalCodec.encodePart(
              number, target.epoch(), target.writerId(), i, split.size(), split.get(i)));
    }
    write(0);
  }

  private static List<List<byte[]>> split(List<JournalRecord> records) {
    List<List<byte[]>> all = new ArrayList<>();
    List<byte[]> part = new ArrayList<>();
    int bytes = 0;
    for (JournalRecord r : records) {
      byte[] b = JournalCodec.encode(r);
      if (!part.isEmpty() && bytes + JournalCodec.framedBytes(b) > JournalWriter.MAX_BATCH_BYTES) {
        all.add(part);
        part = new ArrayList<>();
        bytes = 0;
      }
      part.add(b);
      bytes += JournalCodec.framedBytes(b);
    }
    all.add(part);
    return all;
  }

  private void write(int part) {
    if (abandoned.getAsBoolean()) {
      return;
    }
    if (part == parts.size()) {
      deleteBatches();
      return;
    }
    long wait = mayWrite.getAsBoolean() ? budget.takeTokenOrWaitMillis() : RETRY_MILLIS;
    if (wait > 0) {
      target.timer().schedule(wait, () -> write(part));
      return;
    }
    target
        .store()
        .compareAndSwap(
            target.keys().snapshotPartKey(number, target.epoch(), part),
            KeyValueStore.ABSENT,
            parts.get(part),
            KeyValueStore.NO_LEASE)
        .whenComplete((r, e) -> written(part, r, e));
  }

  private void written(int part, SwapResult r, Throwable e) {
    if (e != null) {
      // Trying again is the check: the key must not exist, or must hold this writer's part.
      target.timer().schedule(backoff.nextMillis(), () -> write(part));
    } else if (r.swapped() || isOwn(r)) {
      backoff.reset();
      write(part + 1);
    } else {
      // Another writer of the same epoch left a part under this key; its journal is kept.
      onDone.accept(0);
    }
  }

  private boolean isOwn(SwapResult r) {
    return r.current()
        .map(c -> JournalCodec.decodePart(c.value()).writerId().equals(target.writerId()))
        .orElse(false);
  }

  private void deleteBatches() {
    JournalKeys k = target.keys();
    target
        .store()
        .deleteRange(k.allBatchesPrefix(), k.batchKey(number + 1))
        .thenCompose(
            v -> target.store().deleteRange(k.allSnapshotsPrefix(), k.snapshotPrefix(number)))
        .whenComplete(
            (v, e) -> {
              if (e == null) {
                onDone.accept(parts.size());
              } else if (!abandoned.getAsBoolean()) {
                target.timer().schedule(backoff.nextMillis(), this::deleteBatches);
              }
            });
  }
}
