package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.HistoryCompactedException;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.SharedStore.Change;
import dev.dandelionport.core.port.SharedStore.Changes;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.port.SharedStore.Page;
import java.util.Collection;
import java.util.TreeMap;

/**
 * Caches all entries below a key prefix: lists them once, then applies changes from long-polling
 * calls. Guarded by the shard; the listener is called under its lock.
 */
final class PrefixWatch {

  private static final long RETRY_MILLIS = 150;

  private final SharedStore store;
  private final DispatchContext context;
  private final Shard shard;
  private final String prefix;
  private final long waitMillis;
  private final Runnable listener;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private long revision;
  private boolean listed;

  /** Whether the latest changes may not have been all. */
  private boolean cutOff;

  private boolean stopped;
  private boolean failing;
  private long failingSinceMillis;

  /**
   * Time at which the latest call was sent whose answer made the copy complete; {@code MIN_VALUE}
   * if there was none.
   */
  private long confirmedMillis = Long.MIN_VALUE;

  /**
   * Time of the store's latest answer; until the first one, the time at which the watch started.
   */
  private long answeredMillis;

  PrefixWatch(
      DispatchContext context, Shard shard, String prefix, long waitMillis, Runnable listener) {
    this.context = context;
    this.store = context.store();
    this.shard = shard;
    this.prefix = prefix;
    this.waitMillis = waitMillis;
    this.listener = listener;
  }

  /** Lists the entries and starts to follow changes. */
  void start() {
    answeredMillis = context.nowMillis();
    list();
  }

  void stop() {
    stopped = true;
  }

  /** Returns the store revision up to which the copy is complete. */
  long revision() {
    return revision;
  }

  boolean isListed() {
    return listed;
  }

  boolean isFailing() {
    return failing;
  }

  Collection<Entry> entries() {
    return entries.values();
  }

  /** Returns the time at which the copy was last known to be complete, on the monotonic clock. */
  long confirmedMillis() {
    return confirmedMillis;
  }

  /**
   * Returns whether the store has not answered for longer than the wait of a call plus a margin.
   */
  boolean isOverdue(long marginMillis) {
    return context.nowMillis() - answeredMillis > waitMillis + marginMillis;
  }

  private void list() {
    long sentMillis = context.nowMillis();
    shard.runAfterUnlock(
        () ->
            store
                .listAll(prefix)
                .whenComplete((p, e) -> shard.run(() -> listCompleted(p, e, sentMillis))));
  }

  private void listCompleted(Page p, Throwable e, long sentMillis) {
    if (stopped) {
      return;
    }
    if (e != null) {
      recordFailure(e, sentMillis);
      retryLater(this::list);
      return;
    }
    entries.clear();
    p.entries().forEach(x -> entries.put(x.key(), x));
    revision = p.revision();
    listed = true;
    recordAnswer();
    confirmedMillis = sentMillis;
    notifyListener();
  }

  private void requestChanges() {
    if (stopped) {
      return;
    }
    long sentMillis = context.nowMillis();
    long afterRevision = revision;
    // The rest of changes that were cut off is there already, if there is one.
    long callMillis = cutOff ? 0 : waitMillis;
    shard.runAfterUnlock(
        () ->
            store
                .awaitChanges(prefix, afterRevision, callMillis)
                .whenComplete((c, e) -> shard.run(() -> changesReceived(c, e, sentMillis))));
  }

  private void changesReceived(Changes c, Throwable e, long sentMillis) {
    if (stopped) {
      return;
    }
    if (e != null) {
      recordFailure(e, sentMillis);
      if (Failures.cause(e) instanceof HistoryCompactedException) {
        list();
      } else {
        retryLater(this::requestChanges);
      }
      return;
    }
    recordAnswer();
    cutOff = !c.complete();
    if (!cutOff) {
      confirmedMillis = Math.max(confirmedMillis, sentMillis);
    }
    for (Change x : c.changes()) {
      if (x.deleted()) {
        entries.remove(x.entry().key());
      } else {
        entries.put(x.entry().key(), x.entry());
      }
    }
    revision = Math.max(revision, c.revision());
    if (c.changes().isEmpty()) {
      requestChanges();
    } else {
      notifyListener();
    }
  }

  /** Calls the listener, and continues to follow changes even if it fails. */
  private void notifyListener() {
    try {
      listener.run();
    } catch (RuntimeException e) {
      context.report(
          DispatchTopic.ACTION_FAILED, "action", "changes of " + prefix, "error", e.toString());
    }
    requestChanges();
  }

  private void recordFailure(Throwable e, long sentMillis) {
    if (!failing) {
      failing = true;
      failingSinceMillis = sentMillis;
      context.report(
          DispatchTopic.STORE_OUTAGE_BEGAN,
          "prefix",
          prefix,
          "error",
          Failures.cause(e).toString());
    }
  }

  private void recordAnswer() {
    answeredMillis = context.nowMillis();
    if (failing) {
      failing = false;
      long millis = context.nowMillis() - failingSinceMillis;
      context.report(DispatchTopic.STORE_OUTAGE_ENDED, "prefix", prefix, "outageMillis", millis);
    }
  }

  private void retryLater(Runnable action) {
    context.schedule(
        shard,
        RETRY_MILLIS,
        () -> {
          if (!stopped) {
            action.run();
          }
        });
  }
}
