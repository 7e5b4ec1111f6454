package dev.dandelionport.core.journal;

import dev.dandelionport.core.common.PartitionId;

/**
 * Store keys of one partition's journal. Numbers are zero-padded so that the order of keys is the
 * order of numbers.
 */
public record JournalKeys(String prefix) {

  /** Returns the keys of a partition. */
  public static JournalKeys of(PartitionId p) {
    return new JournalKeys("/dandelionport/partitions/" + p + "/");
  }

  /** Returns the prefix of all batches. */
  public String allBatchesPrefix() {
    return prefix + "journal/";
  }

  /** Returns the prefix of all snapshot parts. */
  public String allSnapshotsPrefix() {
    return prefix + "snapshot/";
  }

  /** Returns the key of a batch. */
  public String batchKey(long number) {
    return allBatchesPrefix() + String.format("%012d", number);
  }

  /** Returns the common prefix of the parts of the snapshots whose last batch is {@code number}. */
  public String snapshotPrefix(long number) {
    return allSnapshotsPrefix() + String.format("%012d", number);
  }

  /** Returns the key of one part of a snapshot that an owner with this epoch writes. */
  public String snapshotPartKey(long number, long epoch, int part) {
    return snapshotPrefix(number) + String.format("-%08d-%04d", epoch, part);
  }
}
