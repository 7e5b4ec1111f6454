package dev.dandelionport.core.common;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Keeps at most one connection for each key. Connections that failed or closed are replaced by the
 * next caller; concurrent callers share the one that is being opened. Thread-safe.
 *
 * @param <K> type of the key, which identifies the remote end
 * @param <C> type of a connection
 */
public final class ConnectionTable<K, C> {

  private final Map<K, CompletableFuture<C>> connections = new ConcurrentHashMap<>();
  private final Predicate<C> isOpen;

  /** Creates an empty table; {@code isOpen} returns whether a connection can still be used. */
  public ConnectionTable(Predicate<C> isOpen) {
    this.isOpen = isOpen;
  }

  /** Returns the usable connection of a key, or opens one; {@code open} must not block. */
  public CompletableFuture<C> get(K key, Function<K, CompletableFuture<C>> open) {
    return connections.compute(key, (k, c) -> c != null && isUsable(c) ? c : open.apply(k));
  }

  private boolean isUsable(CompletableFuture<C> c) {
    return !c.isCompletedExceptionally() && (!c.isDone() || isOpen.test(c.join()));
  }

  /** Removes the connection of a key unless it has been replaced by a usable one. */
  public void removeClosed(K key) {
    connections.computeIfPresent(key, (k, c) -> isUsable(c) ? c : null);
  }

  /** Returns the connections that are open or being opened. */
  public List<CompletableFuture<C>> all() {
    return List.copyOf(connections.values());
  }

  /** Returns the number of keys. */
  public int size() {
    return connections.size();
  }
}
