package dev.dandelionport.core.dispatch;

/**
 * What a journal has not stored yet.
 *
 * @param batches batches under way
 * @param records records in them and in none yet
 * @param oldestMillis age of the oldest batch, 0 if none is under way
 */
record JournalBacklog(int batches, int records, long oldestMillis) {
  static final JournalBacklog NONE = new JournalBacklog(0, 0, 0);
}
