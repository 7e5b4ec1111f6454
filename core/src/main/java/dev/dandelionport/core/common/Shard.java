package dev.dandelionport.core.common;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The lock of one shard of state. Calls that leave the shard (ports, observers, other shards,
 * futures that others wait for) are queued with {@link #runAfterUnlock} and made once the lock is
 * free. A thread therefore never holds two shards' locks, and a call may call back at once.
 */
public final class Shard {

  private final ReentrantLock lock = new ReentrantLock();
  private final Consumer<RuntimeException> onFailure;
  private List<Runnable> deferredCalls = new ArrayList<>();

  /** Creates a shard; {@code onFailure} is told of outgoing calls that fail. */
  public Shard(Consumer<RuntimeException> onFailure) {
    this.onFailure = onFailure;
  }

  /** Runs {@code action} under the lock. */
  public void run(Runnable action) {
    call(
        () -> {
          action.run();
          return null;
        });
  }

  /** Runs {@code action} under the lock and returns its result. */
  public <T> T call(Supplier<T> action) {
    lock.lock();
    List<Runnable> deferred = List.of();
    try {
      return action.get();
    } finally {
      // An empty list stays in place, so it must not be read once the lock is free.
      if (lock.getHoldCount() == 1 && !deferredCalls.isEmpty()) {
        deferred = deferredCalls;
        deferredCalls = new ArrayList<>();
      }
      lock.unlock();
      runDeferred(deferred);
    }
  }

  /** Makes {@code call} once the lock is free, in the order of the calls to this method. */
  public void runAfterUnlock(Runnable call) {
    if (!lock.isHeldByCurrentThread()) {
      throw new IllegalStateException("the shard's lock is not held");
    }
    deferredCalls.add(call);
  }

  private void runDeferred(List<Runnable> deferred) {
    for (Runnable c : deferred) {
      try {
        c.run();
      } catch (RuntimeException e) {
        onFailure.accept(e);
      }
    }
  }
}
