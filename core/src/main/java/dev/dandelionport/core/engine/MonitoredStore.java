package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreChange;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.SwapResult;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Wraps the store, tracks whether it is reachable and reports outages. Thread-safe. */
final class MonitoredStore implements KeyValueStore {

  /**
   * Time without a successful call after which the store is considered unreachable, in
   * milliseconds.
   */
  static final long UNREACHABLE_MILLIS = 850;

  private final KeyValueStore store;
  private final TimeSource time;
  private final Consumer<EngineEvent> observer;
  private long lastSuccessNanos;
  private boolean everSucceeded;
  private boolean inOutage;

  MonitoredStore(KeyValueStore store, TimeSource time, Consumer<EngineEvent> observer) {
    this.store = store;
    this.time = time;
    this.observer = observer;
  }

  /**
   * Returns whether a recently sent call succeeded. Lease renewals are frequent enough that this is
   * true whenever the store answers.
   */
  synchronized boolean isReachable() {
    return everSucceeded && millisSinceSuccess() < UNREACHABLE_MILLIS;
  }

  /** Returns the time since the last successful call was sent, in milliseconds. */
  synchronized long millisSinceSuccess() {
    return TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - lastSuccessNanos);
  }

  private <T> CompletableFuture<T> monitored(Supplier<CompletableFuture<T>> call) {
    long sentNanos = time.monotonicNanos();
    return call.get().whenComplete((r, e) -> recordResult(sentNanos, e == null));
  }

  private void recordResult(long sentNanos, boolean ok) {
    EngineEvent event = null;
    synchronized (this) {
      if (ok) {
        if (inOutage) {
          inOutage = false;
          event = new EngineEvent.StoreOutageEnded(millisSinceSuccess());
        }
        lastSuccessNanos = everSucceeded ? Math.max(lastSuccessNanos, sentNanos) : sentNanos;
        everSucceeded = true;
      } else if (!inOutage && everSucceeded && !isReachable()) {
        inOutage = true;
        event = new EngineEvent.StoreOutageBegan();
      }
    }
    if (event != null) {
      observer.accept(event);
    }
  }

  @Override
  public CompletableFuture<Optional<StoreEntry>> get(String key) {
    return monitored(() -> store.get(key));
  }

  @Override
  public CompletableFuture<List<StoreEntry>> list(String prefix) {
    return monitored(() -> store.list(prefix));
  }

  @Override
  public CompletableFuture<SwapResult> compareAndSwap(
      String key, long expectedRevision, byte[] value, long lease) {
    return monitored(() -> store.compareAndSwap(key, expectedRevision, value, lease));
  }

  @Override
  public CompletableFuture<Void> deleteRange(String from, String to) {
    return monitored(() -> store.deleteRange(from, to));
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlMillis) {
    return monitored(() -> store.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<Boolean> keepAlive(long lease) {
    return monitored(() -> store.keepAlive(lease));
  }

  @Override
  public CompletableFuture<Void> revokeLease(long lease) {
    return monitored(() -> store.revokeLease(lease));
  }

  @Override
  public Watch watch(String prefix, Consumer<StoreChange> listener, Runnable onClose) {
    return store.watch(prefix, listener, onClose);
  }
}
