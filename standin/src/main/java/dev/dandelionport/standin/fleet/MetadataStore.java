package dev.dandelionport.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** State of the metadata store. Not thread-safe; time is passed in. */
public final class MetadataStore {

  /** Items of one page of a range. */
  static final int PAGE_SIZE = 500;

  /** A key; {@code value} is base64 text, {@code lease} 0 for none. */
  public record Item(String key, String value, long revision, long created, long lease) {}

  /** A change; the item has no value if it was deleted. */
  public record Event(Item item, boolean deleted) {}

  /** A lease with the time at which it ends. */
  private record Lease(long ttlMillis, long expiresMillis) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 1;
  private long compactedRevision;
  private long nextLease = 100;

  /** Returns the store's revision. */
  public long revision() {
    return revision;
  }

  /** Returns an item. */
  public Optional<Item> get(String key) {
    return Optional.ofNullable(items.get(key));
  }

  /** Returns at most a page of items below a prefix, after a key. */
  public List<Item> range(String prefix, String after) {
    List<Item> list = new ArrayList<>();
    for (Item i : items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
      if (!i.key().startsWith(prefix) || list.size() == PAGE_SIZE) {
        break;
      }
      list.add(i);
    }
    return list;
  }

  /** Returns the changes below a prefix after a revision; empty if they were dropped. */
  public Optional<List<Event>> changes(String prefix, long after) {
    if (after < compactedRevision) {
      return Optional.empty();
    }
    return Optional.of(
        history.stream()
            .filter(e -> e.item().revision() > after && e.item().key().startsWith(prefix))
            .toList());
  }

  /** Drops the history. */
  public void compact() {
    history.clear();
    compactedRevision = revision;
  }

  /** Returns whether a key's last change has a revision, 0 for a key that does not exist. */
  public boolean hasRevision(String key, long expected) {
    Item i = items.get(key);
    return (i == null ? 0 : i.revision()) == expected;
  }

  /** Returns whether a lease exists. */
  public boolean hasLease(long lease) {
    return leases.containsKey(lease);
  }

  /** Writes and deletes keys under one new revision and returns it. */
  public long apply(
      Map<String, String> writes, Map<String, Long> writeLeases, List<String> deletedKeys) {
    revision++;
    writes.forEach(
        (key, value) -> {
          Item old = items.get(key);
          long created = old == null ? revision : old.created();
          Item i = new Item(key, value, revision, created, writeLeases.getOrDefault(key, 0L));
          items.put(key, i);
          history.add(new Event(i, false));
        });
    deletedKeys.forEach(this::delete);
    return revision;
  }

  private void delete(String key) {
    if (items.remove(key) != null) {
      history.add(new Event(new Item(key, "", revision, 0, 0), true));
    }
  }

  /** Grants a lease. */
  public long grantLease(long ttlMillis, long now) {
    long id = nextLease++;
    leases.put(id, new Lease(ttlMillis, now + ttlMillis));
    return id;
  }

  /** Renews a lease; returns its length, or empty if it has ended. */
  public Optional<Long> renewLease(long id, long now) {
    Lease l = leases.get(id);
    if (l == null) {
      return Optional.empty();
    }
    leases.put(id, new Lease(l.ttlMillis(), now + l.ttlMillis()));
    return Optional.of(l.ttlMillis());
  }

  /** Ends a lease and deletes its keys. */
  public void revokeLease(long id) {
    leases.remove(id);
    List<String> keys =
        items.values().stream().filter(i -> i.lease() == id).map(Item::key).toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::delete);
    }
  }

  /** Ends the leases whose time is over. */
  public void expireLeases(long now) {
    for (Map.Entry<Long, Lease> l : Map.copyOf(leases).entrySet()) {
      if (l.getValue().expiresMillis() <= now) {
        revokeLease(l.getKey());
      }
    }
  }
}
