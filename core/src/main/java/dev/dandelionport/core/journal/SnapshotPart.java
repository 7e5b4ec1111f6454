package dev.dandelionport.core.journal;

import java.util.List;

/**
 * A part of a snapshot; the records of all parts, in order, replace the batches up to a number.
 *
 * @param lastBatchNumber last batch that the snapshot covers
 * @param epoch epoch of the owner that wrote it
 * @param writerId id of the owner's writer
 * @param partIndex position among the parts, from 0
 * @param partCount number of parts
 * @param records facts, in order
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
