package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.HistoryLostException;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.SharedStore.Change;
import dev.dandelionport.core.port.SharedStore.Changes;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.port.SharedStore.Page;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Keeps a copy of all keys below a prefix: lists them once, then follows the changes. Guarded by
 * the shard; the listener is called under it.
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
  private TreeMap<String, Entry> listing;
  private long revision;
  private boolean listed;
  private boolean stopped;
  private boolean failing;

  /** When the last call was sent that showed the copy to be complete; {@code MIN_VALUE}: none. */
  private long confirmedMillis = Long.MIN_VALUE;

  PrefixWatch(
      DispatchContext context, Shard shard, String prefix, long waitMillis, Runnable listener) {
    this.context = context;
    this.store = context.store();
    this.shard = shard;
    this.prefix = prefix;
    this.waitMillis = waitMillis;
    this.listener = listener;
  }

  /** Starts to follow the keys. */
  void start() {
    list();
  }

  void stop() {
    stopped = true;
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

  /** Returns when the copy was last known to be complete, on the steady clock. */
  long confirmedMillis() {
    return confirmedMillis;
  }

  private void list() {
    listing = new TreeMap<>();
    page("", context.nowMillis());
  }

  private void page(String after, long sent) {
    shard.afterwards(
        () ->
            store
                .list(prefix, after)
                .whenComplete((p, e) -> shard.run(() -> listed(p, e, after, sent))));
  }

  private void listed(Page p, Throwable e, String after, long sent) {
    if (stopped) {
      return;
    }
    if (e != null) {
      failing = true;
      again(this::list);
      return;
    }
    p.entries().forEach(x -> listing.put(x.key(), x));
    if (after.isEmpty()) {
      revision = p.revision();
    }
    if (p.more() && !p.entries().isEmpty()) {
      page(p.entries().get(p.entries().size() - 1).key(), sent);
      return;
    }
    entries.clear();
    entries.putAll(listing);
    listing = null;
    listed = true;
    failing = false;
    confirmedMillis = sent;
    listener.run();
    follow();
  }

  private void follow() {
    if (stopped) {
      return;
    }
    long sent = context.nowMillis();
    long after = revision;
    shard.afterwards(
        () ->
            store
                .changes(prefix, after, waitMillis)
                .whenComplete((c, e) -> shard.run(() -> changed(c, e, sent))));
  }

  private void changed(Changes c, Throwable e, long sent) {
    if (stopped) {
      return;
    }
    if (e != null) {
      failing = true;
      Throwable cause = e.getCause() == null ? e : e.getCause();
      boolean lost = e instanceof HistoryLostException || cause instanceof HistoryLostException;
      if (lost) {
        list();
      } else {
        again(this::follow);
      }
      return;
    }
    failing = false;
    confirmedMillis = Math.max(confirmedMillis, sent);
    for (Change x : c.changes()) {
      Map<String, Entry> m = entries;
      if (x.deleted()) {
        m.remove(x.entry().key());
      } else {
        m.put(x.entry().key(), x.entry());
      }
    }
    revision = Math.max(revision, c.revision());
    if (!c.changes().isEmpty()) {
      listener.run();
    }
    follow();
  }

  private void again(Runnable action) {
    shard.afterwards(
        () -> context.timer().schedule(RETRY_MILLIS, () -> shard.run(() -> rerun(action))));
  }

  private void rerun(Runnable action) {
    if (!stopped) {
      action.run();
    }
  }
}
