package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.SharedStore.Committed;
import dev.dandelionport.core.port.SharedStore.Condition;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.port.SharedStore.Outcome;
import dev.dandelionport.core.port.SharedStore.Rejected;
import dev.dandelionport.core.port.SharedStore.Transaction;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;

/**
 * Transactions of an owner, each on the condition that its key has not changed. The first one that
 * shows another owner stops all further ones. Guarded by the owner's shard.
 */
final class OwnerTransactions {

  /** Duration from which a transaction is reported as slow, in milliseconds. */
  private static final long SLOW_MILLIS = 500;

  private final DispatchContext context;
  private final Shard shard;
  private final long ownerRevision;
  private final Runnable onFenced;
  private final IntSupplier waiting;
  private boolean stopped;
  private long lastStoredMillis = Long.MIN_VALUE;
  private long failingSinceMillis;

  /** Error of the latest failed call since the last successful one; empty if there is none. */
  private String lastError = "";

  /**
   * Creates the transactions of one owner.
   *
   * @param ownerRevision revision of the owner's key
   * @param onFenced called when another instance is the owner
   * @param waiting returns the number of batches that wait for the store, for reports
   */
  OwnerTransactions(
      DispatchContext context,
      Shard shard,
      long ownerRevision,
      Runnable onFenced,
      IntSupplier waiting) {
    this.context = context;
    this.shard = shard;
    this.ownerRevision = ownerRevision;
    this.onFenced = onFenced;
    this.waiting = waiting;
  }

  /** Ignores the answers of all calls under way from now on. */
  void stop() {
    stopped = true;
  }

  boolean isStopped() {
    return stopped;
  }

  /** Returns whether the latest call failed or got no answer. */
  boolean isFailing() {
    return failingSinceMillis > 0;
  }

  /** Returns when the store last accepted a transaction, on the monotonic clock. */
  long lastStoredMillis() {
    return lastStoredMillis;
  }

  /** Returns the condition that the instance still is the owner. */
  Condition isOwner() {
    return new Condition(StoreKeys.OWNER, ownerRevision);
  }

  /** Runs an action after a delay, unless the transactions are stopped by then. */
  void schedule(long delayMillis, Runnable action) {
    context.schedule(
        shard,
        delayMillis,
        () -> {
          if (!stopped) {
            action.run();
          }
        });
  }

  /**
   * Sends a transaction that writes {@code key}.
   *
   * @param onStored receives the revision of the key once it is stored
   * @param onFailure called if the call failed; the transaction may be sent again unchanged
   */
  void commit(Transaction t, String key, LongConsumer onStored, Runnable onFailure) {
    long sentMillis = context.nowMillis();
    shard.runAfterUnlock(
        () ->
            context
                .store()
                .commit(t)
                .whenComplete(
                    (o, e) ->
                        shard.run(
                            () -> {
                              if (stopped) {
                                return;
                              }
                              if (e == null) {
                                answered(t, key, o, sentMillis, onStored);
                              } else {
                                failed(e, sentMillis);
                                onFailure.run();
                              }
                            })));
  }

  private void failed(Throwable e, long sentMillis) {
    failingSinceMillis = failingSinceMillis == 0 ? sentMillis : failingSinceMillis;
    lastError = Failures.cause(e).toString();
  }

  private void answered(
      Transaction t, String key, Outcome o, long sentMillis, LongConsumer onStored) {
    long revision = storedRevision(t, key, o);
    if (revision == SharedStore.ABSENT) {
      stopped = true;
      onFenced.run();
      return;
    }
    reportIfSlow(key, sentMillis);
    failingSinceMillis = 0;
    lastError = "";
    lastStoredMillis = context.nowMillis();
    onStored.accept(revision);
  }

  private void reportIfSlow(String key, long sentMillis) {
    long sinceMillis = failingSinceMillis > 0 ? failingSinceMillis : sentMillis;
    long millis = context.nowMillis() - sinceMillis;
    if (millis > SLOW_MILLIS) {
      context.report(
          DispatchTopic.BATCH_SLOW,
          "key",
          key,
          "millis",
          millis,
          "error",
          lastError,
          "waiting",
          waiting.getAsInt());
    }
  }

  /**
   * Returns the revision of a key written by a transaction, or by an earlier attempt of it whose
   * answer was lost; {@link SharedStore#ABSENT} if another instance is the owner.
   */
  private long storedRevision(Transaction t, String key, Outcome o) {
    if (o instanceof Committed c) {
      return c.revision();
    }
    if (!(o instanceof Rejected r)) {
      return SharedStore.ABSENT;
    }
    boolean stillOwner = false;
    long revision = SharedStore.ABSENT;
    for (Entry x : r.current()) {
      stillOwner |= x.key().equals(StoreKeys.OWNER) && x.revision() == ownerRevision;
      boolean changed = !t.conditions().contains(new Condition(key, x.revision()));
      revision = x.key().equals(key) && changed ? x.revision() : revision;
    }
    return stillOwner ? revision : SharedStore.ABSENT;
  }
}
