package dev.dandelionport.node.version;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Looks up the owner of an API key of the form {@code id.secret}. Unknown ids are hashed and
 * compared like known ones, so that response times do not reveal which ids exist.
 */
public final class KeyIndex {

  /**
   * A key that is accepted.
   *
   * @param owner owner of the key
   * @param id public part of the key
   * @param salt salt, in lower-case hexadecimal
   * @param hash SHA-256 of salt and secret, in lower-case hexadecimal
   */
  public record Entry(String owner, String id, String salt, String hash) {}

  /** Longest key, in characters; longer keys are rejected without hashing. */
  private static final int MAX_KEY_CHARS = 512;

  private static final int HASH_BYTES = 32;
  private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();
  private static final Stored UNKNOWN = new Stored("", new byte[8], new byte[HASH_BYTES]);

  private record Stored(String owner, byte[] salt, byte[] hash) {}

  private final Map<String, Stored> byId = new HashMap<>();

  /** Creates an index of {@code entries}, whose ids are unique. */
  public KeyIndex(Collection<Entry> entries) {
    for (Entry e : entries) {
      byId.put(e.id(), new Stored(e.owner(), HEX.decode(e.salt()), HEX.decode(e.hash())));
    }
  }

  /** Returns the owner of {@code key}, or nothing if the key is not valid. */
  public Optional<String> owner(String key) {
    if (key.length() > MAX_KEY_CHARS) {
      return Optional.empty();
    }
    int dot = key.indexOf('.');
    String id = dot < 0 ? "" : key.substring(0, dot);
    Stored s = byId.getOrDefault(id, UNKNOWN);
    boolean matches = MessageDigest.isEqual(s.hash, digest(s.salt, key.substring(dot + 1)));
    return matches && s != UNKNOWN ? Optional.of(s.owner) : Optional.empty();
  }

  /** Returns the hash of {@code salt} and {@code secret}, in lower-case hexadecimal. */
  public static String hash(String salt, String secret) {
    return HEX.encode(digest(HEX.decode(salt), secret));
  }

  private static byte[] digest(byte[] salt, String secret) {
    return Hashing.sha256()
        .newHasher()
        .putBytes(salt)
        .putString(secret, StandardCharsets.UTF_8)
        .hash()
        .asBytes();
  }
}
