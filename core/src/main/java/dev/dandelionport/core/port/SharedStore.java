package dev.dandelionport.core.port;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A key-value store with transactions over several keys. A future fails with {@link
 * StoreUnavailableException} if it is unknown whether the call took effect; such a transaction may
 * still be executed later if its conditions are met at that time.
 */
public interface SharedStore {

  /** Revision that denotes a key that does not exist. */
  long ABSENT = 0;

  /** Lease id that denotes no lease. */
  long NO_LEASE = 0;

  /** Maximum total number of conditions, writes and deletions of one transaction. */
  int MAX_TRANSACTION_OPERATIONS = 32;

  /** A key with its value, the revision of its last change and its lease. */
  record Entry(String key, byte[] value, long revision, long lease) {}

  /**
   * Entries in key order and the store's revision; {@code hasMore} is true if further entries
   * follow.
   */
  record Page(List<Entry> entries, boolean hasMore, long revision) {
    /** Copies the list. */
    public Page {
      entries = List.copyOf(entries);
    }
  }

  /** A key that was written or deleted. */
  record Change(Entry entry, boolean deleted) {}

  /**
   * Changes in order; later changes have revisions above {@code revision}. {@code complete} is true
   * if there certainly were no later ones when the store answered.
   */
  record Changes(List<Change> changes, long revision, boolean complete) {
    /** Copies the list. */
    public Changes {
      changes = List.copyOf(changes);
    }
  }

  /** Requires that the last change of a key has this revision. */
  record Condition(String key, long revision) {}

  /** Writes a key. */
  record Write(String key, byte[] value, long lease) {}

  /** Conditions, and the writes and deletions that are made if all of them are met. */
  record Transaction(List<Condition> conditions, List<Write> writes, List<String> deletes) {
    /** Copies the lists. */
    public Transaction {
      conditions = List.copyOf(conditions);
      writes = List.copyOf(writes);
      deletes = List.copyOf(deletes);
    }
  }

  /** Result of a transaction. */
  sealed interface Outcome {}

  /** The transaction was executed. */
  record Committed(long revision) implements Outcome {}

  /**
   * A condition was not met; {@code current} contains the existing entries of the conditions' keys.
   */
  record Rejected(List<Entry> current) implements Outcome {
    /** Copies the list. */
    public Rejected {
      current = List.copyOf(current);
    }
  }

  /** A lease that a write refers to does not exist. */
  record LeaseNotFound() implements Outcome {}

  /** Reads one key, linearizably. */
  CompletableFuture<Optional<Entry>> get(String key);

  /**
   * Reads one page of the keys that start with {@code prefix} and are greater than {@code after},
   * linearizably.
   */
  CompletableFuture<Page> list(String prefix, String after);

  /**
   * Reads all keys that start with {@code prefix}, page by page; fails unless all pages were read.
   * The returned revision is that of the first page, so later pages may already contain newer
   * changes.
   */
  default CompletableFuture<Page> listAll(String prefix) {
    return PageReader.readAll(after -> list(prefix, after));
  }

  /**
   * Waits up to {@code waitMillis} milliseconds for changes of keys that start with {@code prefix},
   * made after the revision {@code after}. Fails with {@link HistoryCompactedException} if the
   * store no longer has these changes.
   */
  CompletableFuture<Changes> awaitChanges(String prefix, long after, long waitMillis);

  /** Executes a transaction. */
  CompletableFuture<Outcome> commit(Transaction transaction);

  /** Grants a lease and returns its id. */
  CompletableFuture<Long> grantLease(long ttlMillis);

  /** Renews a lease; completes with false if it has ended. */
  CompletableFuture<Boolean> renewLease(long lease);

  /** Revokes a lease and deletes the keys attached to it. */
  CompletableFuture<Void> revokeLease(long lease);
}
