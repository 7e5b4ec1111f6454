package dev.dandelionport.core.manifest;

/**
 * A key of a team, stored as a salted hash.
 *
 * @param id public part of the key
 * @param salt salt, in hexadecimal
 * @param hash SHA-256 of salt and secret, in hexadecimal
 */
public record TeamKey(String id, String salt, String hash) {}
