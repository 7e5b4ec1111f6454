package dev.dandelionport.core.journal;

import java.util.List;

/**
 * What a new owner found in a partition's journal.
 *
 * @param records facts of the snapshot and the batches after it, in order
 * @param nextNumber number of the owner's first batch
 * @param batchCount number of batches after the snapshot
 * @param batchBytes size of those batches
 * @param snapshotBytes size of the snapshot
 */
public record RecoveredJournal(
    List<JournalRecord> records,
    long nextNumber,
    int batchCount,
    long batchBytes,
    long snapshotBytes) {}
