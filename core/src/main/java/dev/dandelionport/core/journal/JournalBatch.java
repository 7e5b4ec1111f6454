package dev.dandelionport.core.journal;

import java.util.List;

/**
 * The content of one journal write. Number, epoch and writer id together identify a batch, because
 * a writer produces exactly one batch for each number.
 *
 * @param number position in the journal, from 1
 * @param epoch epoch of the owner that wrote the batch
 * @param writerId id of the owner's writer, newly generated each time a partition is opened
 * @param records in the order in which they were appended
 */
public record JournalBatch(long number, long epoch, String writerId, List<JournalRecord> records) {

  /** Copies the list. */
  public JournalBatch {
    records = List.copyOf(records);
  }
}
