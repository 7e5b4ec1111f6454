package dev.dandelionport.core.dispatch;

import java.nio.charset.StandardCharsets;

/**
 * Describes the newest complete snapshot: the number of the last batch that it replaces, and its
 * number of parts.
 */
record SnapshotHead(long number, int parts) {

  static byte[] encode(long number, int parts) {
    return (number + " " + parts).getBytes(StandardCharsets.US_ASCII);
  }

  /** Decodes a head; throws {@link IllegalArgumentException} if it is malformed. */
  static SnapshotHead decode(byte[] bytes) {
    String[] words = new String(bytes, StandardCharsets.US_ASCII).split(" ", -1);
    if (words.length != 2) {
      throw new IllegalArgumentException(
          "snapshot head has " + words.length + " words, expected 2");
    }
    return new SnapshotHead(Long.parseLong(words[0]), Integer.parseInt(words[1]));
  }
}
