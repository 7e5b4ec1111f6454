package dev.dandelionport.core.dispatch;

/**
 * Journal data that is not stored yet.
 *
 * @param batches batches being written
 * @param records records in these batches and records not assigned to a batch yet
 * @param oldestMillis age of the oldest batch being written, 0 if there is none
 */
record JournalBacklog(int batches, int records, long oldestMillis) {
  static final JournalBacklog NONE = new JournalBacklog(0, 0, 0);
}
