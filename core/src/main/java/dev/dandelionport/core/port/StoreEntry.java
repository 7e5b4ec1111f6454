package dev.dandelionport.core.port;

/**
 * A key with its value.
 *
 * @param key the key
 * @param value the value, at most 1 MB
 * @param revision revision of the last change of this key
 */
public record StoreEntry(String key, byte[] value, long revision) {}
