package dev.dandelionport.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** In-memory metadata store. Not thread-safe; callers pass the current time in. */
public final class MetadataStore {

  /** Maximum number of items in one page of a range. */
  static final int PAGE_SIZE = 500;

  /** A key with its base64-encoded value; {@code lease} is 0 if the key has none. */
  public record Item(String key, String value, long revision, long createdRevision, long lease) {}

  /** A change of a key; the value of the item is empty if the key was deleted. */
  public record Event(Item item, boolean deleted) {}

  /** A lease with its expiry time. */
  private record Lease(long ttlMillis, long expiresMillis) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 1;
  private long compactedRevision;
  private long nextLeaseId = 100;

  /** Returns the current revision of the store. */
  public long revision() {
    return revision;
  }

  /** Returns the item of a key; empty if the key does not exist. */
  public Optional<Item> get(String key) {
    return Optional.ofNullable(items.get(key));
  }

  /** Returns up to {@link #PAGE_SIZE} items with a prefix that follow the key {@code after}. */
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

  /** Returns the changes with a prefix after a revision; empty if they were compacted. */
  public Optional<List<Event>> changes(String prefix, long after) {
    if (after < compactedRevision) {
      return Optional.empty();
    }
    return Optional.of(
        history.stream()
            .filter(e -> e.item().revision() > after && e.item().key().startsWith(prefix))
            .toList());
  }

  /** Compacts the store: drops all changes up to the current revision. */
  public void compact() {
    history.clear();
    compactedRevision = revision;
  }

  /** Returns whether a key was last changed at a revision; 0 means that the key does not exist. */
  public boolean hasRevision(String key, long expected) {
    Item i = items.get(key);
    return (i == null ? 0 : i.revision()) == expected;
  }

  /** Returns whether a lease exists. */
  public boolean hasLease(long lease) {
    return leases.containsKey(lease);
  }

  /** Writes and deletes keys atomically; returns the new revision. */
  public long apply(
      Map<String, String> writes, Map<String, Long> writeLeases, List<String> deletedKeys) {
    revision++;
    writes.forEach(
        (key, value) -> {
          Item old = items.get(key);
          long createdRevision = old == null ? revision : old.createdRevision();
          Item i =
              new Item(key, value, revision, createdRevision, writeLeases.getOrDefault(key, 0L));
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

  /** Grants a lease and returns its id. */
  public long grantLease(long ttlMillis, long now) {
    long id = nextLeaseId++;
    leases.put(id, new Lease(ttlMillis, now + ttlMillis));
    return id;
  }

  /** Renews a lease and returns its time to live; empty if the lease does not exist. */
  public Optional<Long> renewLease(long id, long now) {
    Lease l = leases.get(id);
    if (l == null) {
      return Optional.empty();
    }
    leases.put(id, new Lease(l.ttlMillis(), now + l.ttlMillis()));
    return Optional.of(l.ttlMillis());
  }

  /** Revokes a lease and deletes the keys attached to it. */
  public void revokeLease(long id) {
    leases.remove(id);
    List<String> keys =
        items.values().stream().filter(i -> i.lease() == id).map(Item::key).toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::delete);
    }
  }

  /** Revokes the leases that have expired by {@code now}. */
  public void expireLeases(long now) {
    for (Map.Entry<Long, Lease> l : Map.copyOf(leases).entrySet()) {
      if (l.getValue().expiresMillis() <= now) {
        revokeLease(l.getKey());
      }
    }
  }
}
