package dev.dandelionport.core.port;

/**
 * A change reported by a watch.
 *
 * @param entry the entry after the change; its value is empty if it was deleted
 * @param deleted whether the key was deleted
 */
public record StoreChange(StoreEntry entry, boolean deleted) {}
