package dev.dandelionport.core.journal;

import java.util.List;

/**
 * One part of a snapshot. The records of all parts, in order, replace the batches up to {@code
 * lastBatchNumber}.
 *
 * @param lastBatchNumber number of the last batch that the snapshot covers
 * @param epoch epoch of the owner that wrote the snapshot
 * @param writerId id of the owner's writer
 * @param partIndex index of this part, from 0
 * @param partCount number of parts
 * @param records records of this part, in order
 */
public record SnapshotPart(
    long lastBatchNumber,
    long epoch,
    String writerId,
    int partIndex,
    int partCount,
    List<JournalRecord> records) {

  /** Copies the list. */
  public SnapshotPart {
    records = List.copyOf(records);
  }
}
