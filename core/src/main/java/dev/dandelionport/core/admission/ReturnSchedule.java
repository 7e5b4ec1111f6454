package dev.dandelionport.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * The times at which refused callers return, for cells that refuse many submissions at once. Each
 * refused submission is promised future capacity of its pool, and no capacity is promised twice.
 * The state is lost with the owner; a new one treats callers that return as new. Not thread-safe.
 */
public final class ReturnSchedule {

  /** Longest time until a caller returns, in milliseconds. */
  public static final long MAX_MILLIS = 30_000;

  /**
   * Shortest time until a caller returns, in milliseconds. It is longer than an instance waits for
   * the owner's answer, so that a delayed copy of a refused call finds the refusal.
   */
  public static final long MIN_MILLIS = 1_000;

  static final int MAX_ENTRIES = 100_000;

  /** Time after its return time for which an entry is kept, in milliseconds. */
  static final long KEEP_MILLIS = 10_000;

  /** Length of a slot, in milliseconds. */
  static final long SLOT_MILLIS = 100;

  /**
   * Fraction of a slot that is promised to submissions refused for the first time. The rest is for
   * those refused before, so that the ones that have waited longest find earlier times.
   */
  private static final double FIRST_FRACTION = 0.75;

  /** The same for accounts over their fair share, so that the others find earlier times. */
  private static final double OVER_SHARE_FRACTION = 0.5;

  /** A slot with less left than this is skipped unless it suffices, in milliseconds of the pool. */
  private static final double MIN_LEFT_MILLIS = 10;

  /** A submission; a call with the same id by another account is a different one. */
  public record Caller(String queue, String account, String id) {}

  /**
   * What a refused submission needs.
   *
   * @param pool name of the pool or quota whose capacity it needs
   * @param poolMillis time that it would need the whole pool for
   * @param earliestMillis when the forecast has capacity for it
   */
  public record Need(String pool, double poolMillis, long earliestMillis) {}

  private record Promise(long slot, double amount) {}

  private record Entry(
      long firstRefusedMillis,
      long returnMillis,
      RefusalReason reason,
      String pool,
      List<Promise> promises) {}

  private record Due(long returnMillis, Caller caller) {}

  private final int maxEntries;

  /** Entries in the order of the first refusal. */
  private final Map<Caller, Entry> entries = new LinkedHashMap<>();

  private final PriorityQueue<Due> dues =
      new PriorityQueue<>((a, b) -> Long.compare(a.returnMillis(), b.returnMillis()));

  /** Promised time by pool and slot; a slot is numbered by its start divided by its length. */
  private final Map<String, TreeMap<Long, Double>> promised = new HashMap<>();

  /** Creates an empty schedule. */
  public ReturnSchedule() {
    this(MAX_ENTRIES);
  }

  ReturnSchedule(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  /** Returns the refusal of a caller that returns before its time: the same time again. */
  public Optional<Refusal> earlyRefusal(Caller c, long now) {
    removeExpired(now);
    Entry e = entries.get(c);
    return e == null || now >= e.returnMillis
        ? Optional.empty()
        : Optional.of(new Refusal(e.reason, e.returnMillis, true));
  }

  /** Refuses a submission that is new or returns at its time, and promises it capacity. */
  public Refusal refuse(Caller c, RefusalReason reason, Need need, long now) {
    removeExpired(now);
    Entry before = entries.get(c);
    if (before != null) {
      release(before);
    }
    double fraction =
        before != null ? 1 : reason.isOverShare() ? OVER_SHARE_FRACTION : FIRST_FRACTION;
    long earliestMillis = Math.max(need.earliestMillis(), now + MIN_MILLIS);
    List<Promise> promises = findCapacity(need, earliestMillis, now + MAX_MILLIS, fraction);
    long returnMillis = now + MAX_MILLIS;
    if (!promises.isEmpty()) {
      returnMillis = promises.get(0).slot() * SLOT_MILLIS;
      TreeMap<Long, Double> slots = promised.computeIfAbsent(need.pool(), k -> new TreeMap<>());
      promises.forEach(p -> slots.merge(p.slot(), p.amount(), Double::sum));
    }
    long firstMillis = before == null ? now : before.firstRefusedMillis;
    // A replaced entry keeps its place in the order of the first refusal.
    entries.put(c, new Entry(firstMillis, returnMillis, reason, need.pool(), promises));
    dues.add(new Due(returnMillis, c));
    evictOldest();
    return new Refusal(reason, returnMillis, false);
  }

  /** Forgets a submission that is accepted. Its promised capacity stays taken. */
  public void remove(Caller c) {
    entries.remove(c);
  }

  /** Returns the number of refused submissions that are expected to return. */
  public int size() {
    return entries.size();
  }

  /** Returns the time promised of a slot, in milliseconds of the whole pool. */
  double promisedMillis(String pool, long slot) {
    return promised.getOrDefault(pool, new TreeMap<>()).getOrDefault(slot, 0.0);
  }

  /** Returns the first slots with enough capacity in total, or none if there are not enough. */
  private List<Promise> findCapacity(
      Need need, long earliestMillis, long latestMillis, double fraction) {
    Map<Long, Double> taken = promised.getOrDefault(need.pool(), new TreeMap<>());
    List<Promise> promises = new ArrayList<>();
    double missing = need.poolMillis();
    long lastSlot = latestMillis / SLOT_MILLIS;
    for (long slot = -Math.floorDiv(-earliestMillis, SLOT_MILLIS); slot <= lastSlot; slot++) {
      double free = fraction * SLOT_MILLIS - taken.getOrDefault(slot, 0.0);
      if (free >= Math.min(missing, MIN_LEFT_MILLIS)) {
        double amount = Math.min(free, missing);
        promises.add(new Promise(slot, amount));
        missing -= amount;
        if (missing <= 0) {
          return promises;
        }
      }
    }
    return List.of();
  }

  private void release(Entry e) {
    TreeMap<Long, Double> slots = promised.get(e.pool);
    if (slots != null) {
      e.promises.forEach(p -> slots.computeIfPresent(p.slot(), (k, sum) -> sum - p.amount()));
    }
  }

  private void evictOldest() {
    Iterator<Entry> oldest = entries.values().iterator();
    while (entries.size() > maxEntries) {
      release(oldest.next());
      oldest.remove();
    }
  }

  /** Removes slots that are over, and entries whose callers have not returned. */
  private void removeExpired(long now) {
    while (!dues.isEmpty() && dues.peek().returnMillis() + KEEP_MILLIS < now) {
      Due d = dues.poll();
      Entry e = entries.get(d.caller());
      if (e != null && e.returnMillis == d.returnMillis()) {
        entries.remove(d.caller());
        release(e);
      }
    }
    promised.values().forEach(slots -> slots.headMap(now / SLOT_MILLIS).clear());
    promised.values().removeIf(Map::isEmpty);
  }
}
