package dev.dandelionport.standin.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Keys, leases and watches of the stand-in store. All methods synchronize on this object. */
public final class StoreState {

  /** A key with its value, revision and lease. */
  public record Entry(String key, byte[] value, long revision, long lease) {}

  /** A change of a key; {@code deleted} entries have an empty value. */
  public record Change(Entry entry, boolean deleted) {}

  private record Watcher(String from, String to, Consumer<Change> listener) {
    void notify(Change c) {
      String key = c.entry().key();
      if (key.compareTo(from) >= 0 && key.compareTo(to) < 0) {
        listener.accept(c);
      }
    }
  }

  private static final int MAX_HISTORY = 1_000;

  private static final class Lease {
    final long ttlMillis;
    long expiresAtMillis;

    Lease(long ttlMillis, long expiresAtMillis) {
      this.ttlMillis = ttlMillis;
      this.expiresAtMillis = expiresAtMillis;
    }
  }

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Watcher> watchers = new ArrayList<>();

  /** Most recent changes, replayed to watches that start at an earlier revision. */
  private final Deque<Change> history = new ArrayDeque<>();

  private long revision = 1;
  private long compactedRevision;
  private long nextLease = 1;

  /** Returns the newest revision whose change was discarded, or 0 if none was. */
  public synchronized long compactedRevision() {
    return compactedRevision;
  }

  /** Discards the history, like a compaction by an operator. */
  public synchronized void compact() {
    history.clear();
    compactedRevision = revision;
  }

  /** Returns the current revision. */
  public synchronized long revision() {
    return revision;
  }

  /** Returns the entries from {@code from} inclusive to {@code to} exclusive. */
  public synchronized List<Entry> range(String from, String to) {
    return new ArrayList<>(entries.subMap(from, to).values());
  }

  /** Returns the entry of a key, if there is one. */
  public synchronized Optional<Entry> get(String key) {
    return Optional.ofNullable(entries.get(key));
  }

  /**
   * Writes the value if the key's revision is {@code expected}, 0 for an absent key, and the lease
   * exists or is 0; returns whether it did.
   */
  public synchronized boolean compareAndPut(String key, long expected, byte[] value, long lease) {
    Entry current = entries.get(key);
    boolean leaseOk = lease == 0 || leases.containsKey(lease);
    if ((current == null ? 0 : current.revision()) != expected || !leaseOk) {
      return false;
    }
    revision++;
    Entry e = new Entry(key, value, revision, lease);
    entries.put(key, e);
    notifyWatchers(new Change(e, false));
    return true;
  }

  /** Deletes the entries from {@code from} inclusive to {@code to} exclusive. */
  public synchronized void delete(String from, String to) {
    for (Entry e : range(from, to)) {
      remove(e);
    }
  }

  private void remove(Entry e) {
    revision++;
    entries.remove(e.key());
    notifyWatchers(new Change(new Entry(e.key(), new byte[0], revision, 0), true));
  }

  /** Grants a lease and returns its id. */
  public synchronized long grant(long ttlMillis, long nowMillis) {
    long id = nextLease++;
    leases.put(id, new Lease(ttlMillis, nowMillis + ttlMillis));
    return id;
  }

  /** Renews a lease and returns its time to live, or 0 if the lease is unknown or expired. */
  public synchronized long keepAlive(long id, long nowMillis) {
    Lease l = leases.get(id);
    if (l == null) {
      return 0;
    }
    l.expiresAtMillis = nowMillis + l.ttlMillis;
    return l.ttlMillis;
  }

  /** Revokes a lease and deletes its entries. */
  public synchronized void revoke(long id) {
    leases.remove(id);
    for (Entry e : List.copyOf(entries.values())) {
      if (e.lease() == id) {
        remove(e);
      }
    }
  }

  /** Revokes the leases that have expired. */
  public synchronized void expire(long nowMillis) {
    for (Map.Entry<Long, Lease> e : List.copyOf(leases.entrySet())) {
      if (e.getValue().expiresAtMillis <= nowMillis) {
        revoke(e.getKey());
      }
    }
  }

  /** Extends every lease to its full time to live, as the store does after an outage. */
  public synchronized void extendLeases(long nowMillis) {
    leases.values().forEach(l -> l.expiresAtMillis = nowMillis + l.ttlMillis);
  }

  /**
   * Calls {@code listener} for each change in the range until the returned action is run. Unless
   * {@code start} is 0, earlier changes from that revision inclusive are replayed first.
   */
  public synchronized Runnable watch(
      String from, String to, long start, Consumer<Change> listener) {
    Watcher w = new Watcher(from, to, listener);
    if (start > 0) {
      history.stream().filter(c -> c.entry().revision() >= start).forEach(w::notify);
    }
    watchers.add(w);
    return () -> unwatch(w);
  }

  private synchronized void unwatch(Watcher w) {
    watchers.remove(w);
  }

  private void notifyWatchers(Change c) {
    history.add(c);
    if (history.size() > MAX_HISTORY) {
      compactedRevision = history.remove().entry().revision();
    }
    for (Watcher w : List.copyOf(watchers)) {
      w.notify(c);
    }
  }
}
