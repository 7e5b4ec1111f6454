package dev.dandelionport.core.port;

import java.util.Optional;

/**
 * Result of a compare-and-swap.
 *
 * @param swapped whether the write took effect
 * @param revision revision of the key after the write, 0 if it did not take effect
 * @param current the existing entry if the write did not take effect, or empty if the key does not
 *     exist
 */
public record SwapResult(boolean swapped, long revision, Optional<StoreEntry> current) {}
