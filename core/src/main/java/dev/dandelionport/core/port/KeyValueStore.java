package dev.dandelionport.core.port;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The platform's key-value store. A future fails with {@link StoreUnavailableException} if it is
 * unknown whether the call took effect.
 */
public interface KeyValueStore {

  /** Revision that denotes a key that does not exist. */
  long ABSENT = 0;

  /** Lease id that denotes no lease. */
  long NO_LEASE = 0;

  /** Reads one key, linearizably. */
  CompletableFuture<Optional<StoreEntry>> get(String key);

  /** Reads all keys that start with {@code prefix}, in key order. */
  CompletableFuture<List<StoreEntry>> list(String prefix);

  /**
   * Writes {@code value} if the key's revision is {@code expectedRevision}; {@link #ABSENT} means
   * that the key must not exist. The entry is deleted when {@code lease} ends, unless that is
   * {@link #NO_LEASE}.
   */
  CompletableFuture<SwapResult> compareAndSwap(
      String key, long expectedRevision, byte[] value, long lease);

  /** Deletes all keys from {@code from} inclusive to {@code to} exclusive. */
  CompletableFuture<Void> deleteRange(String from, String to);

  /** Grants a lease of {@code ttlMillis} milliseconds and returns its id. */
  CompletableFuture<Long> grantLease(long ttlMillis);

  /** Renews a lease; completes with false if it no longer exists. */
  CompletableFuture<Boolean> keepAlive(long lease);

  /** Revokes a lease and deletes the keys attached to it. */
  CompletableFuture<Void> revokeLease(long lease);

  /**
   * Calls {@code listener} for each change of a key that starts with {@code prefix}, and {@code
   * onClose} once when the watch ends for any reason. The caller must then list the keys and start
   * a new watch.
   */
  Watch watch(String prefix, Consumer<StoreChange> listener, Runnable onClose);

  /** An active watch. */
  interface Watch {
    /** Ends the watch. */
    void close();
  }
}
