package dev.dandelionport.core.port;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A key-value store with transactions over several keys. A future fails with {@link
 * StoreUnavailableException} when nothing is known about the effect of the call; a transaction that
 * failed in this way may still be carried out later if its conditions hold then.
 */
public interface SharedStore {

  /** The revision that stands for a key that does not exist. */
  long ABSENT = 0;

  /** The lease that stands for none. */
  long NO_LEASE = 0;

  /** Most conditions, writes and deletions of one transaction together. */
  int MAX_TRANSACTION_OPERATIONS = 32;

  /** A key with its value, the revision of its last change and its lease. */
  record Entry(String key, byte[] value, long revision, long lease) {}

  /** Some entries in key order and the store's revision; {@code more} tells that others follow. */
  record Page(List<Entry> entries, boolean hasMore, long revision) {
    /** Copies the list. */
    public Page {
      entries = List.copyOf(entries);
    }
  }

  /** A key that was written or deleted. */
  record Change(Entry entry, boolean deleted) {}

  /** Changes in order; the next ones follow after {@code revision}. */
  record Changes(List<Change> changes, long revision) {
    /** Copies the list. */
    public Changes {
      changes = List.copyOf(changes);
    }
  }

  /** Demands that a key's last change has a revision. */
  record Condition(String key, long revision) {}

  /** Writes a key. */
  record Write(String key, byte[] value, long lease) {}

  /** Conditions, and what is done if all of them hold. */
  record Transaction(List<Condition> conditions, List<Write> writes, List<String> deletes) {
    /** Copies the lists. */
    public Transaction {
      conditions = List.copyOf(conditions);
      writes = List.copyOf(writes);
      deletes = List.copyOf(deletes);
    }
  }

  /** What became of a transaction. */
  sealed interface Outcome {}

  /** It was carried out. */
  record Committed(long revision) implements Outcome {}

  /** A condition did not hold; {@code current} are the keys of the conditions that exist. */
  record Rejected(List<Entry> current) implements Outcome {
    /** Copies the list. */
    public Rejected {
      current = List.copyOf(current);
    }
  }

  /** A lease that a write names does not exist. */
  record LeaseNotFound() implements Outcome {}

  /** Reads one key, linearizably. */
  CompletableFuture<Optional<Entry>> get(String key);

  /** Reads keys that start with {@code prefix} and come after {@code after}, linearizably. */
  CompletableFuture<Page> list(String prefix, String after);

  /**
   * Reads all keys that start with {@code prefix}, page by page; the revision is the one of the
   * first page, after which changes may have come.
   */
  default CompletableFuture<Page> listAll(String prefix) {
    return list(prefix, "").thenCompose(first -> listRemaining(prefix, first));
  }

  private CompletableFuture<Page> listRemaining(String prefix, Page previous) {
    if (!previous.hasMore() || previous.entries().isEmpty()) {
      return CompletableFuture.completedFuture(
          new Page(previous.entries(), false, previous.revision()));
    }
    String last = previous.entries().get(previous.entries().size() - 1).key();
    return list(prefix, last)
        .thenCompose(
            next -> {
              List<Entry> all = new ArrayList<>(previous.entries());
              all.addAll(next.entries());
              boolean more = next.hasMore() && !next.entries().isEmpty();
              return listRemaining(prefix, new Page(all, more, previous.revision()));
            });
  }

  /**
   * Waits up to {@code waitMillis} for changes below {@code prefix} after a revision. Fails with
   * {@link HistoryCompactedException} if the store no longer has them.
   */
  CompletableFuture<Changes> awaitChanges(String prefix, long after, long waitMillis);

  /** Carries out a transaction. */
  CompletableFuture<Outcome> commit(Transaction transaction);

  /** Grants a lease and returns its id. */
  CompletableFuture<Long> grantLease(long ttlMillis);

  /** Renews a lease; completes with false if it has ended. */
  CompletableFuture<Boolean> renewLease(long lease);

  /** Ends a lease and deletes its keys. */
  CompletableFuture<Void> revokeLease(long lease);
}
