package dev.dandelionport.core.journal;

import java.util.List;

/**
 * The content of a partition's journal as read by a new owner.
 *
 * @param records records of the snapshot and the batches after it, in order
 * @param nextNumber number of the next batch that the owner writes
 * @param batchCount number of batches after the snapshot
 * @param batchBytes size of those batches, in bytes
 * @param snapshotBytes size of the snapshot, in bytes
 */
public record RecoveredJournal(
    List<JournalRecord> records,
    long nextNumber,
    int batchCount,
    long batchBytes,
    long snapshotBytes) {}
