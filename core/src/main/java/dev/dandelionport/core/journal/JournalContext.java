package dev.dandelionport.core.journal;

import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.Timer;

/**
 * Where and as whom one owner writes a partition's journal.
 *
 * @param store store that holds it
 * @param timer delayed actions
 * @param time clocks
 * @param keys keys of the partition
 * @param epoch epoch of the owner
 * @param writerId id of the writer, new each time the partition is opened
 */
public record JournalContext(
    KeyValueStore store,
    Timer timer,
    TimeSource time,
    JournalKeys keys,
    long epoch,
    String writerId) {}
