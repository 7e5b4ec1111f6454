package dev.dandelionport.core.journal;

import dev.dandelionport.core.common.RetryDelay;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.SwapResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/**
 * Writes one snapshot, part by part, and deletes the batches and older snapshots that it replaces
 * once all parts are durable. The steps run strictly one after another, so the fields need no lock.
 */
final class SnapshotWriter {

  /**
   * Interval between checks while the owner lacks authority, and first delay before a retry when
   * the store does not answer.
   */
  private static final long MIN_RETRY_MILLIS = 500;

  private static final long MAX_RETRY_MILLIS = 5_000;

  private final JournalContext context;
  private final WriteBudget budget;
  private final BooleanSupplier hasAuthority;
  private final BooleanSupplier isClosed;
  private final long lastBatchNumber;
  private final IntConsumer onFinished;
  private final List<byte[]> parts = new ArrayList<>();
  private final RetryDelay retryDelay;

  SnapshotWriter(
      JournalContext context,
      WriteBudget budget,
      BooleanSupplier hasAuthority,
      BooleanSupplier isClosed,
      long lastBatchNumber,
      IntConsumer onFinished) {
    this.context = context;
    this.budget = budget;
    this.hasAuthority = hasAuthority;
    this.isClosed = isClosed;
    this.lastBatchNumber = lastBatchNumber;
    this.onFinished = onFinished;
    this.retryDelay =
        new RetryDelay(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS, context.writerId().hashCode());
  }

  /** Splits the records into parts, encodes them and starts writing. */
  void start(List<JournalRecord> records) {
    List<List<byte[]>> split = split(records);
    for (int i = 0; i < split.size(); i++) {
      parts.add(
          JournalCodec.encodePart(
              lastBatchNumber, context.epoch(), context.writerId(), i, split.size(), split.get(i)));
    }
    writePart(0);
  }

  private static List<List<byte[]>> split(List<JournalRecord> records) {
    List<List<byte[]>> parts = new ArrayList<>();
    List<byte[]> part = new ArrayList<>();
    int bytes = 0;
    for (JournalRecord record : records) {
      byte[] encoded = JournalCodec.encode(record);
      if (!part.isEmpty()
          && bytes + JournalCodec.framedBytes(encoded) > JournalWriter.MAX_BATCH_BYTES) {
        parts.add(part);
        part = new ArrayList<>();
        bytes = 0;
      }
      part.add(encoded);
      bytes += JournalCodec.framedBytes(encoded);
    }
    parts.add(part);
    return parts;
  }

  private void writePart(int partIndex) {
    if (isClosed.getAsBoolean()) {
      return;
    }
    if (partIndex == parts.size()) {
      deleteReplacedData();
      return;
    }
    long waitMillis =
        hasAuthority.getAsBoolean() ? budget.takeTokenOrWaitMillis() : MIN_RETRY_MILLIS;
    if (waitMillis > 0) {
      context.timer().schedule(waitMillis, () -> writePart(partIndex));
      return;
    }
    context
        .store()
        .compareAndSwap(
            context.keys().snapshotPartKey(lastBatchNumber, context.epoch(), partIndex),
            KeyValueStore.ABSENT,
            parts.get(partIndex),
            KeyValueStore.NO_LEASE)
        .whenComplete((r, e) -> onPartWriteCompleted(partIndex, r, e));
  }

  private void onPartWriteCompleted(int partIndex, SwapResult r, Throwable e) {
    if (e != null) {
      // The write may have taken effect. The retry detects it: the key then holds this writer's
      // part.
      context.timer().schedule(retryDelay.nextMillis(), () -> writePart(partIndex));
    } else if (r.swapped() || isOwn(r)) {
      retryDelay.reset();
      writePart(partIndex + 1);
    } else {
      // Another writer of the same epoch has written a part under this key. Its journal is kept, so
      // no batches are deleted.
      onFinished.accept(0);
    }
  }

  private boolean isOwn(SwapResult r) {
    return r.current()
        .map(c -> JournalCodec.decodePart(c.value()).writerId().equals(context.writerId()))
        .orElse(false);
  }

  private void deleteReplacedData() {
    JournalKeys keys = context.keys();
    context
        .store()
        .deleteRange(keys.allBatchesPrefix(), keys.batchKey(lastBatchNumber + 1))
        .thenCompose(
            v ->
                context
                    .store()
                    .deleteRange(keys.allSnapshotsPrefix(), keys.snapshotPrefix(lastBatchNumber)))
        .whenComplete(
            (v, e) -> {
              if (e == null) {
                onFinished.accept(parts.size());
              } else if (!isClosed.getAsBoolean()) {
                context.timer().schedule(retryDelay.nextMillis(), this::deleteReplacedData);
              }
            });
  }
}
