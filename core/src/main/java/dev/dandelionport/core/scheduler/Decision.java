package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.journal.JournalRecord;
import java.util.List;

/**
 * The result of one step of the scheduler.
 *
 * @param records records to append to the journal, in order
 * @param effects effects to carry out, in order
 */
public record Decision(List<JournalRecord> records, List<Effect> effects) {}
