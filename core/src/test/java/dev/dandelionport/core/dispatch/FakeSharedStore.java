package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.port.HistoryCompactedException;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.StoreUnavailableException;
import dev.dandelionport.core.testing.VirtualTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Fake store in virtual time, with outages per caller, lost answers and writes that are applied
 * late.
 */
final class FakeSharedStore {

  private static final long POLL_MILLIS = 5;
  private static final long LATE_WRITE_MILLIS = 3_000;

  /** Number of changes after which an answer ends with the next revision. */
  private static final int CHANGES_PER_ANSWER = 3;

  private final VirtualTime time;
  private final TreeMap<String, SharedStore.Entry> entries = new TreeMap<>();
  private final List<SharedStore.Change> history = new ArrayList<>();
  private final Map<Long, Long> leaseEnds = new HashMap<>();
  private final Map<Long, Long> leaseTtls = new HashMap<>();
  private final Map<String, SharedStore.Transaction> committedByKey = new HashMap<>();
  final Set<String> refusedCallers = new HashSet<>();
  double lostAnswerFraction;

  /** Prefixes whose changes cannot be read. */
  final Set<String> unreadablePrefixes = new HashSet<>();

  /** Called with each transaction that was applied, before its answer is sent. */
  java.util.function.Consumer<SharedStore.Transaction> committed = t -> {};

  private long revision = 1;
  private long compacted;
  private long nextLease = 10;

  FakeSharedStore(VirtualTime time) {
    this.time = time;
  }

  void put(String key, String value) {
    write(key, value.getBytes(java.nio.charset.StandardCharsets.UTF_8), 0, ++revision);
  }

  /** Removes a key as another client of the store does. */
  void remove(String key) {
    delete(key, ++revision);
  }

  void compact() {
    history.clear();
    compacted = revision;
  }

  /** Returns the latest transaction that wrote a key. */
  SharedStore.Transaction committedTransaction(String key) {
    return committedByKey.get(key);
  }

  Set<String> keys() {
    return entries.keySet();
  }

  private void write(String key, byte[] value, long lease, long atRevision) {
    SharedStore.Entry e = new SharedStore.Entry(key, value, atRevision, lease);
    entries.put(key, e);
    history.add(new SharedStore.Change(e, false));
  }

  private void delete(String key, long atRevision) {
    if (entries.remove(key) != null) {
      history.add(
          new SharedStore.Change(new SharedStore.Entry(key, new byte[0], atRevision, 0), true));
    }
  }

  private void expireLeases() {
    for (Map.Entry<Long, Long> l : new TreeMap<>(leaseEnds).entrySet()) {
      if (l.getValue() <= time.nowMillis()) {
        endLease(l.getKey());
      }
    }
  }

  private void endLease(long lease) {
    leaseEnds.remove(lease);
    revision++;
    entries.values().stream()
        .filter(e -> e.lease() == lease)
        .map(SharedStore.Entry::key)
        .toList()
        .forEach(k -> delete(k, revision));
  }

  private SharedStore.Outcome apply(SharedStore.Transaction t) {
    List<SharedStore.Entry> current = new ArrayList<>();
    boolean conditionsMet = true;
    for (SharedStore.Condition c : t.conditions()) {
      SharedStore.Entry e = entries.get(c.key());
      conditionsMet &= (e == null ? 0 : e.revision()) == c.revision();
      if (e != null) {
        current.add(e);
      }
    }
    if (!conditionsMet) {
      return new SharedStore.Rejected(current);
    }
    for (SharedStore.Write w : t.writes()) {
      if (w.lease() != 0 && !leaseEnds.containsKey(w.lease())) {
        return new SharedStore.LeaseNotFound();
      }
    }
    revision++;
    t.writes().forEach(w -> committedByKey.put(w.key(), t));
    t.writes().forEach(w -> write(w.key(), w.value(), w.lease(), revision));
    t.deletes().forEach(k -> delete(k, revision));
    committed.accept(t);
    return new SharedStore.Committed(revision);
  }

  /** Returns a client for one caller; {@code process} runs the completions of its calls. */
  SharedStore client(String caller, java.util.function.Consumer<Runnable> process) {
    return new Client(caller, process);
  }

  private final class Client implements SharedStore {
    private final String caller;
    private final java.util.function.Consumer<Runnable> process;

    Client(String caller, java.util.function.Consumer<Runnable> process) {
      this.caller = caller;
      this.process = process;
    }

    private <T> CompletableFuture<T> call(boolean isWrite, Supplier<T> action) {
      CompletableFuture<T> f = new CompletableFuture<>();
      time.afterNanos(
          time.latencyNanos(4),
          () -> {
            expireLeases();
            if (refusedCallers.contains(caller)) {
              complete(
                  () ->
                      f.completeExceptionally(
                          new StoreUnavailableException("store unavailable", null)));
            } else if (isWrite && time.random().nextDouble() < lostAnswerFraction) {
              // The write is applied immediately, late or never, and gets no answer in any case.
              int outcome = time.random().nextInt(3);
              if (outcome == 0) {
                action.get();
              } else if (outcome == 1) {
                time.afterMillis(LATE_WRITE_MILLIS, action::get);
              }
              time.afterMillis(
                  300,
                  () ->
                      process.accept(
                          () ->
                              f.completeExceptionally(
                                  new StoreUnavailableException("answer lost", null))));
            } else {
              try {
                T result = action.get();
                complete(() -> f.complete(result));
              } catch (RuntimeException e) {
                complete(() -> f.completeExceptionally(e));
              }
            }
          });
      return f;
    }

    private void complete(Runnable r) {
      time.afterNanos(time.latencyNanos(2), () -> process.accept(r));
    }

    @Override
    public CompletableFuture<Optional<Entry>> get(String key) {
      return call(false, () -> Optional.ofNullable(entries.get(key)));
    }

    @Override
    public CompletableFuture<Page> list(String prefix, String after) {
      return call(
          false,
          () -> {
            List<Entry> all =
                entries.tailMap(prefix).values().stream()
                    .filter(e -> e.key().startsWith(prefix) && e.key().compareTo(after) > 0)
                    .toList();
            boolean more = all.size() > 50;
            return new Page(more ? all.subList(0, 50) : all, more, revision);
          });
    }

    @Override
    public CompletableFuture<Changes> awaitChanges(String prefix, long after, long waitMillis) {
      CompletableFuture<Changes> f = new CompletableFuture<>();
      poll(prefix, after, time.nowMillis() + waitMillis, f);
      return f;
    }

    private void poll(String prefix, long after, long deadline, CompletableFuture<Changes> f) {
      call(
              false,
              () -> {
                if (unreadablePrefixes.contains(prefix)) {
                  throw new StoreUnavailableException("changes are not readable", null);
                }
                if (after < compacted) {
                  throw new HistoryCompactedException("revision has been compacted");
                }
                return changes(prefix, after);
              })
          .whenComplete(
              (c, e) -> {
                if (e != null) {
                  f.completeExceptionally(e);
                } else if (!c.changes().isEmpty() || time.nowMillis() >= deadline) {
                  f.complete(c);
                } else {
                  time.afterMillis(POLL_MILLIS, () -> poll(prefix, after, deadline, f));
                }
              });
    }

    private Changes changes(String prefix, long after) {
      List<Change> changes = new ArrayList<>();
      for (Change c : history) {
        long changed = c.entry().revision();
        if (changed <= after || !c.entry().key().startsWith(prefix)) {
          continue;
        }
        if (changes.size() >= CHANGES_PER_ANSWER) {
          long last = changes.get(changes.size() - 1).entry().revision();
          if (changed > last) {
            return new Changes(changes, last, false);
          }
        }
        changes.add(c);
      }
      return new Changes(changes, revision, true);
    }

    @Override
    public CompletableFuture<Outcome> commit(Transaction t) {
      return call(true, () -> apply(t));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
      return call(
          false,
          () -> {
            long id = nextLease++;
            leaseTtls.put(id, ttlMillis);
            leaseEnds.put(id, time.nowMillis() + ttlMillis);
            return id;
          });
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
      return call(
          false,
          () ->
              leaseEnds.computeIfPresent(lease, (k, v) -> time.nowMillis() + leaseTtls.get(k))
                  != null);
    }

    @Override
    public CompletableFuture<Void> revokeLease(long lease) {
      return call(
          false,
          () -> {
            endLease(lease);
            return null;
          });
    }
  }
}
