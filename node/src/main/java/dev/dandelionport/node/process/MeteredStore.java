package dev.dandelionport.node.process;

import com.codahale.metrics.Meter;
import dev.dandelionport.core.engine.EngineEvent;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreChange;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.SwapResult;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Counts the calls to the store and measures their duration. */
final class MeteredStore implements KeyValueStore {

  /**
   * Store calls per second allowed for an idle instance; a performance target of docs/design.md.
   */
  private static final double IDLE_CALL_BUDGET_PER_SECOND = 2;

  private final KeyValueStore store;
  private final InstanceMetrics metrics;
  private final Consumer<EngineEvent> observer;
  private final Meter callMeter = new Meter();

  MeteredStore(KeyValueStore store, InstanceMetrics metrics, Consumer<EngineEvent> observer) {
    this.store = store;
    this.metrics = metrics;
    this.observer = observer;
    metrics.registerSource(MetricSpec.STORE_CALL_RATE, callMeter::getOneMinuteRate);
    metrics.registerSource(MetricSpec.STORE_CALL_BUDGET, () -> IDLE_CALL_BUDGET_PER_SECOND);
  }

  @Override
  public CompletableFuture<Optional<StoreEntry>> get(String key) {
    return counted("get", false, store.get(key));
  }

  @Override
  public CompletableFuture<List<StoreEntry>> list(String prefix) {
    return counted("list", false, store.list(prefix));
  }

  @Override
  public CompletableFuture<SwapResult> compareAndSwap(
      String key, long expectedRevision, byte[] value, long lease) {
    metrics.counter(MetricSpec.STORE_WRITE_BYTES).inc(value.length);
    return counted(
        "compare_and_swap", true, store.compareAndSwap(key, expectedRevision, value, lease));
  }

  @Override
  public CompletableFuture<Void> deleteRange(String from, String to) {
    return counted("delete_range", true, store.deleteRange(from, to));
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlMillis) {
    return counted("grant_lease", true, store.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<Boolean> keepAlive(long lease) {
    return counted("keep_alive", false, store.keepAlive(lease));
  }

  @Override
  public CompletableFuture<Void> revokeLease(long lease) {
    return counted("revoke_lease", true, store.revokeLease(lease));
  }

  @Override
  public Watch watch(String prefix, Consumer<StoreChange> listener, Runnable onClose) {
    callMeter.mark();
    metrics.counter(MetricSpec.STORE_CALLS, "watch", "ok").inc();
    return store.watch(prefix, listener, onClose);
  }

  private <T> CompletableFuture<T> counted(
      String operation, boolean writes, CompletableFuture<T> call) {
    callMeter.mark();
    if (writes) {
      metrics.counter(MetricSpec.STORE_WRITES).inc();
    }
    long startNanos = System.nanoTime();
    return call.whenComplete(
        (r, e) -> {
          long millis = (System.nanoTime() - startNanos) / 1_000_000;
          String outcome = e == null ? "ok" : "failed";
          metrics.counter(MetricSpec.STORE_CALLS, operation, outcome).inc();
          metrics.histogram(MetricSpec.STORE_CALL_TIME, operation).update(millis);
          observer.accept(new EngineEvent.StoreCall(operation, e == null, millis));
        });
  }
}
