package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.workflow.ClusterPolicy;
import dev.dandelionport.core.workflow.RunnerDescription;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The owner's view of the cluster, read from the store: configuration, closed failure domains and
 * runners. Guarded by the owner's shard.
 */
final class ClusterView {

  /**
   * Wait of a watch call for operator entries, in milliseconds; bounds the age of the
   * configuration.
   */
  private static final long OPERATOR_WATCH_MILLIS = 1_000;

  private static final long RUNNER_WATCH_MILLIS = 1_500;

  /**
   * Time after a store outage during which runners that are no longer listed are kept, in
   * milliseconds; their entries may have expired during the outage and may be written again.
   */
  private static final long RETENTION_AFTER_OUTAGE_MILLIS = 2_500;

  /**
   * Delay of the store's answer beyond the watch wait that counts as an outage, in milliseconds.
   */
  private static final long OUTAGE_MARGIN_MILLIS = 800;

  private final DispatchContext context;
  private final Runnable listener;
  private final PrefixWatch operatorWatch;
  private final PrefixWatch runnerWatch;
  private final Map<String, Entry> entriesByKey = new HashMap<>();
  private final Map<String, RunnerDescription> runnersByKey = new TreeMap<>();
  private final Set<String> unreadableKeys = new HashSet<>();
  private final Map<String, RunnerDescription> runnersById = new TreeMap<>();
  private ClusterPolicy policy = ClusterPolicy.NONE;
  private long policyRevision;
  private Set<String> closedDomains = Set.of();
  private long retainUntilMillis;
  private boolean retaining;

  ClusterView(DispatchContext context, Shard shard, Runnable listener) {
    this.context = context;
    this.listener = listener;
    this.operatorWatch =
        new PrefixWatch(
            context,
            shard,
            context.storeSchema().operatorPrefix(),
            OPERATOR_WATCH_MILLIS,
            this::operatorEntriesChanged);
    this.runnerWatch =
        new PrefixWatch(
            context,
            shard,
            context.storeSchema().runnerPrefix(),
            RUNNER_WATCH_MILLIS,
            this::runnerEntriesChanged);
  }

  void start() {
    operatorWatch.start();
    runnerWatch.start();
  }

  void stop() {
    operatorWatch.stop();
    runnerWatch.stop();
  }

  /** Returns whether configuration and runners have been loaded. */
  boolean isLoaded() {
    return operatorWatch.isListed() && runnerWatch.isListed() && policy.version() >= 0;
  }

  ClusterPolicy policy() {
    return policy;
  }

  Set<String> closedDomains() {
    return closedDomains;
  }

  List<RunnerDescription> runners() {
    return List.copyOf(runnersById.values());
  }

  /**
   * Returns the time at which the configuration was last known to be complete, on the monotonic
   * clock.
   */
  long confirmedMillis() {
    return operatorWatch.confirmedMillis();
  }

  /** Returns whether the configuration was confirmed recently enough to be used. */
  boolean isPolicyCurrent() {
    return context.nowMillis() - operatorWatch.confirmedMillis()
        <= context.settings().policyMaxAgeMillis();
  }

  private void operatorEntriesChanged() {
    Set<String> closed = new HashSet<>();
    for (Entry e : operatorWatch.entries()) {
      decode(e, context.storeSchema()::decodeClosedDomain).ifPresent(closed::add);
      if (e.revision() > policyRevision) {
        Optional<ClusterPolicy> p = decode(e, context.storeSchema()::decodePolicy);
        if (p.isPresent() && p.get().version() > policy.version()) {
          policy = p.get();
          policyRevision = e.revision();
          context.report(
              DispatchTopic.POLICY_IN_FORCE,
              "version",
              policy.version(),
              "queues",
              policy.queues().size(),
              "accounts",
              policy.accounts().size(),
              "revision",
              e.revision());
        }
      }
    }
    if (!closed.equals(closedDomains)) {
      closedDomains = Set.copyOf(closed);
      context.report(DispatchTopic.DOMAINS_CLOSED, "domains", String.join(" ", closed));
    }
    listener.run();
  }

  private void runnerEntriesChanged() {
    Set<String> keys = new HashSet<>();
    for (Entry e : runnerWatch.entries()) {
      keys.add(e.key());
      Entry before = entriesByKey.put(e.key(), e);
      if (before == null || before.revision() != e.revision()) {
        decodeRunner(e);
      }
    }
    entriesByKey.keySet().retainAll(keys);
    runnersByKey.keySet().retainAll(keys);
    if (context.nowMillis() >= retainUntilMillis) {
      runnersById.clear();
    }
    runnersByKey.values().forEach(d -> runnersById.put(d.id(), d));
    listener.run();
  }

  /**
   * Decodes an entry; empty if that fails. An entry that a decoder does not expect must not keep
   * the other entries from being used.
   */
  private <T> Optional<T> decode(Entry e, Function<Entry, Optional<T>> decoder) {
    try {
      return decoder.apply(e);
    } catch (RuntimeException x) {
      if (unreadableKeys.add(e.key())) {
        context.report(
            DispatchTopic.ENTRY_IGNORED,
            "key",
            e.key(),
            "revision",
            e.revision(),
            "error",
            x.toString());
      }
      return Optional.empty();
    }
  }

  private void decodeRunner(Entry e) {
    Optional<RunnerDescription> d = decode(e, context.storeSchema()::decodeRunner);
    if (d.isPresent()) {
      runnersByKey.put(e.key(), d.get());
      unreadableKeys.remove(e.key());
      return;
    }
    runnersByKey.remove(e.key());
    if (unreadableKeys.add(e.key())) {
      context.report(DispatchTopic.ENTRY_IGNORED, "key", e.key(), "revision", e.revision());
    }
  }

  /** Detects store outages, and removes runners whose entries have not returned after one. */
  void expireRunners() {
    long now = context.nowMillis();
    if (operatorWatch.isOverdue(OUTAGE_MARGIN_MILLIS)) {
      retainUntilMillis = now + RETENTION_AFTER_OUTAGE_MILLIS;
      retaining = true;
    } else if (retaining && now >= retainUntilMillis) {
      retaining = false;
      List<String> before = new ArrayList<>(runnersById.keySet());
      runnersById.clear();
      runnersByKey.values().forEach(d -> runnersById.put(d.id(), d));
      if (!before.equals(new ArrayList<>(runnersById.keySet()))) {
        listener.run();
      }
    }
  }
}
