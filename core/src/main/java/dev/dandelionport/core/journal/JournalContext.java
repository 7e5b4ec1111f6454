package dev.dandelionport.core.journal;

import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.Timer;

/**
 * The store, clock, keys and identity with which one owner accesses a partition's journal.
 *
 * @param store store that holds the journal
 * @param timer schedules retries and delayed writes
 * @param time source of the monotonic clock
 * @param keys store keys of the partition's journal
 * @param epoch epoch of the owner
 * @param writerId id of the writer, newly generated each time the partition is opened
 */
public record JournalContext(
    KeyValueStore store,
    Timer timer,
    TimeSource time,
    JournalKeys keys,
    long epoch,
    String writerId) {}
