package dev.dandelionport.core.testing;

import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreChange;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.StoreUnavailableException;
import dev.dandelionport.core.port.SwapResult;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Fake linearizable store with leases and watches; it can be down, disconnect processes, and lose
 * requests or replies.
 */
public final class FakeStore {

  /** Maximum size of a value, in bytes. */
  public static final int MAX_VALUE_BYTES = 1_000_000;

  /** Timeout of a client's call, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 1_000;

  private record Value(byte[] bytes, long revision, long lease) {}

  private record Watcher(
      FakeProcess process, String prefix, Consumer<StoreChange> listener, Runnable onClose) {}

  private final VirtualTime time;
  private final TreeMap<String, Value> values = new TreeMap<>();
  private final Map<Long, Long> leases = new HashMap<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private final Set<FakeProcess> disconnected = new HashSet<>();
  private final Map<FakeProcess, Integer> calls = new HashMap<>();
  private final Map<String, Integer> callsByOperation = new HashMap<>();
  private BiPredicate<String, String> replyLost = (op, key) -> false;
  private BiPredicate<String, String> requestLost = (op, key) -> false;
  private BiPredicate<String, String> beforeCall = (op, key) -> false;
  private long revision;
  private long nextLease = 100;
  private boolean down;
  private long maxLatencyMillis = 3;
  private int largestValue;

  public FakeStore(VirtualTime time) {
    this.time = time;
  }

  /** Makes the store unreachable for everyone, or reachable again. */
  public void setDown(boolean isDown) {
    down = isDown;
    if (isDown) {
      closeWatches(w -> true);
    }
  }

  /** Disconnects a process, or connects it again. */
  public void setDisconnected(FakeProcess p, boolean isDisconnected) {
    if (isDisconnected) {
      disconnected.add(p);
      closeWatches(w -> w.process == p);
    } else {
      disconnected.remove(p);
    }
  }

  public void setLatency(long maxMillis) {
    maxLatencyMillis = maxMillis;
  }

  /**
   * Loses the replies of matching calls after they took effect; {@code which} receives operation
   * and key.
   */
  public void loseReplies(BiPredicate<String, String> which) {
    replyLost = which;
  }

  /** Loses matching calls before they take effect; {@code which} receives operation and key. */
  public void loseRequests(BiPredicate<String, String> which) {
    requestLost = which;
  }

  /** Calls {@code hook} before each call; a fault injected there acts on the same call. */
  public void beforeCalls(BiPredicate<String, String> hook) {
    beforeCall = hook;
  }

  public int calls(FakeProcess p) {
    return calls.getOrDefault(p, 0);
  }

  public int calls(String operation) {
    return callsByOperation.getOrDefault(operation, 0);
  }

  public int largestValue() {
    return largestValue;
  }

  public Optional<byte[]> read(String key) {
    return Optional.ofNullable(values.get(key)).map(Value::bytes);
  }

  public List<String> keys(String prefix) {
    return values.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
  }

  /** Writes without a condition, as an operator's tool or a restore does. */
  public void putUnconditionally(String key, byte[] value) {
    put(key, value, KeyValueStore.NO_LEASE);
  }

  public KeyValueStore client(FakeProcess p) {
    return new Client(p);
  }

  private void closeWatches(Predicate<Watcher> which) {
    List<Watcher> closing = watchers.stream().filter(which).toList();
    watchers.removeAll(closing);
    closing.forEach(w -> time.afterMillis(1, () -> w.process.run(w.onClose)));
  }

  private void put(String key, byte[] bytes, long lease) {
    values.put(key, new Value(bytes, ++revision, lease));
    largestValue = Math.max(largestValue, bytes.length);
    notifyWatchers(new StoreChange(new StoreEntry(key, bytes, revision), false));
  }

  private void remove(String key) {
    if (values.remove(key) != null) {
      notifyWatchers(new StoreChange(new StoreEntry(key, new byte[0], ++revision), true));
    }
  }

  private void notifyWatchers(StoreChange c) {
    for (Watcher w : List.copyOf(watchers)) {
      if (c.entry().key().startsWith(w.prefix)) {
        time.afterNanos(
            time.latencyNanos(maxLatencyMillis), () -> w.process.run(() -> w.listener.accept(c)));
      }
    }
  }

  private void expireAt(long lease, long atNanos) {
    leases.put(lease, atNanos);
    time.afterNanos(
        atNanos - time.nowNanos(),
        () -> {
          Long until = leases.get(lease);
          if (until != null && until <= time.nowNanos()) {
            endLease(lease);
          }
        });
  }

  private void endLease(long lease) {
    leases.remove(lease);
    values.entrySet().stream()
        .filter(e -> e.getValue().lease == lease)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::remove);
  }

  private Optional<StoreEntry> entry(String key) {
    Value v = values.get(key);
    return v == null
        ? Optional.empty()
        : Optional.of(new StoreEntry(key, v.bytes.clone(), v.revision));
  }

  private final class Client implements KeyValueStore {
    private final FakeProcess process;
    private final Map<Long, Long> ttls = new HashMap<>();

    Client(FakeProcess process) {
      this.process = process;
    }

    private <T> CompletableFuture<T> call(String op, String key, Supplier<T> effect) {
      calls.merge(process, 1, Integer::sum);
      callsByOperation.merge(op, 1, Integer::sum);
      beforeCall.test(op, key);
      CompletableFuture<T> f = new CompletableFuture<>();
      if (down || disconnected.contains(process) || requestLost.test(op, key)) {
        fail(f, op);
        return f;
      }
      boolean lost = replyLost.test(op, key);
      time.afterNanos(
          time.latencyNanos(maxLatencyMillis),
          () -> {
            if (down) {
              fail(f, op);
              return;
            }
            try {
              T result = effect.get();
              if (lost || down) {
                fail(f, op);
              } else {
                time.afterNanos(
                    time.latencyNanos(maxLatencyMillis),
                    () -> process.run(() -> f.complete(result)));
              }
            } catch (RuntimeException e) {
              time.afterNanos(0, () -> process.run(() -> f.completeExceptionally(e)));
            }
          });
      return f;
    }

    private void fail(CompletableFuture<?> f, String op) {
      RuntimeException e = new StoreUnavailableException("no answer to " + op, null);
      process.schedule(TIMEOUT_MILLIS, () -> f.completeExceptionally(e));
    }

    @Override
    public CompletableFuture<Optional<StoreEntry>> get(String key) {
      return call("get", key, () -> entry(key));
    }

    @Override
    public CompletableFuture<List<StoreEntry>> list(String prefix) {
      return call(
          "list", prefix, () -> keys(prefix).stream().map(k -> entry(k).orElseThrow()).toList());
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(
        String key, long expectedRevision, byte[] value, long lease) {
      return call(
          "swap",
          key,
          () -> {
            if (value.length > MAX_VALUE_BYTES
                || (lease != NO_LEASE && !leases.containsKey(lease))) {
              throw new StoreUnavailableException("value too large or lease not found", null);
            }
            long currentRevision = entry(key).map(StoreEntry::revision).orElse(ABSENT);
            if (currentRevision != expectedRevision) {
              return new SwapResult(false, 0, entry(key));
            }
            put(key, value, lease);
            return new SwapResult(true, revision, Optional.empty());
          });
    }

    @Override
    public CompletableFuture<Void> deleteRange(String from, String to) {
      return call(
          "delete",
          from,
          () -> {
            List.copyOf(values.subMap(from, to).keySet()).forEach(FakeStore.this::remove);
            return null;
          });
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
      return call(
          "grant",
          "",
          () -> {
            long id = nextLease++;
            ttls.put(id, ttlMillis);
            expireAt(id, time.nowNanos() + ttlMillis * 1_000_000);
            return id;
          });
    }

    @Override
    public CompletableFuture<Boolean> keepAlive(long lease) {
      return call(
          "keepAlive",
          "",
          () -> {
            boolean known = leases.containsKey(lease);
            if (known) {
              expireAt(lease, time.nowNanos() + ttls.get(lease) * 1_000_000);
            }
            return known;
          });
    }

    @Override
    public CompletableFuture<Void> revokeLease(long lease) {
      return call(
          "revoke",
          "",
          () -> {
            endLease(lease);
            return null;
          });
    }

    @Override
    public Watch watch(String prefix, Consumer<StoreChange> listener, Runnable onClose) {
      calls.merge(process, 1, Integer::sum);
      Watcher w = new Watcher(process, prefix, listener, onClose);
      if (down || disconnected.contains(process)) {
        process.schedule(TIMEOUT_MILLIS, onClose);
      } else {
        watchers.add(w);
      }
      return () -> watchers.remove(w);
    }
  }
}
