package dev.dandelionport.core.common;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The lock of one shard of state. Outgoing calls (to ports, observers and other shards, and
 * completions of futures that others wait for) are queued with {@link #runAfterUnlock} and run
 * after the lock is released. A thread therefore never holds the locks of two shards, and an
 * outgoing call may call back into the shard immediately.
 */
public final class Shard {

  private final ReentrantLock lock = new ReentrantLock();
  private final Consumer<RuntimeException> onFailure;
  private List<Runnable> deferredCalls = new ArrayList<>();

  /** Creates a shard; {@code onFailure} receives the exceptions of outgoing calls that fail. */
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
      // Take the list only if it is not empty; an empty list stays in use by the shard, so it must
      // not be read after the lock is released.
      if (lock.getHoldCount() == 1 && !deferredCalls.isEmpty()) {
        deferred = deferredCalls;
        deferredCalls = new ArrayList<>();
      }
      lock.unlock();
      runDeferred(deferred);
    }
  }

  /** Runs {@code call} after the lock is released, in the order in which calls were queued. */
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
