package dev.dandelionport.core.journal;

import java.util.List;

/**
 * What one journal write contains. Number, epoch and writer together identify the batch, because a
 * writer produces one batch for each number.
 *
 * @param number position in the journal, from 1
 * @param epoch epoch of the owner that wrote it
 * @param writerId id of the owner's writer, new each time a partition is opened
 * @param records facts, in order
 */
public record JournalBatch(long number, long epoch, String writerId, List<JournalRecord> records) {

  /** Copies the list. */
  public JournalBatch {
    records = List.copyOf(records);
  }
}
