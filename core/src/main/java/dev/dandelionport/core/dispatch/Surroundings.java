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

/**
 * What the store says about the owner's surroundings: configuration, closed failure domains and
 * runners. Guarded by the owner's shard.
 */
final class Surroundings {

  /** Wait of a watch of the configuration; bounds the age of what is known, in milliseconds. */
  private static final long OPERATOR_WAIT_MILLIS = 1_000;

  private static final long RUNNER_WAIT_MILLIS = 1_500;

  /**
   * Time after an outage of the store for which runners that it no longer lists are kept, in
   * milliseconds; their entries may have lapsed meanwhile and come back.
   */
  private static final long RETURN_MILLIS = 2_500;

  /** Time by which the store's answer is overdue that counts as an outage, in milliseconds. */
  private static final long OVERDUE_MILLIS = 800;

  private final DispatchContext context;
  private final Runnable changed;
  private final PrefixWatch operators;
  private final PrefixWatch runnerEntries;
  private final Map<String, Entry> decodedFrom = new HashMap<>();
  private final Map<String, RunnerDescription> decoded = new TreeMap<>();
  private final Set<String> ignored = new HashSet<>();
  private final Map<String, RunnerDescription> known = new TreeMap<>();
  private ClusterPolicy policy = ClusterPolicy.NONE;
  private long policyRevision;
  private Set<String> closedDomains = Set.of();
  private long keepUntilMillis;
  private boolean keeping;

  Surroundings(DispatchContext context, Shard shard, Runnable changed) {
    this.context = context;
    this.changed = changed;
    this.operators =
        new PrefixWatch(
            context,
            shard,
            context.directory().operatorPrefix(),
            OPERATOR_WAIT_MILLIS,
            this::operatorsChanged);
    this.runnerEntries =
        new PrefixWatch(
            context,
            shard,
            context.directory().runnerPrefix(),
            RUNNER_WAIT_MILLIS,
            this::runnersChanged);
  }

  void start() {
    operators.start();
    runnerEntries.start();
  }

  void stop() {
    operators.stop();
    runnerEntries.stop();
  }

  /** Returns whether configuration and runners were read. */
  boolean isKnown() {
    return operators.isListed() && runnerEntries.isListed() && policy.version() >= 0;
  }

  ClusterPolicy policy() {
    return policy;
  }

  Set<String> closedDomains() {
    return closedDomains;
  }

  List<RunnerDescription> runners() {
    return List.copyOf(known.values());
  }

  /** Returns when the store was last known to answer, on the steady clock. */
  long seenMillis() {
    return operators.confirmedMillis();
  }

  /** Returns whether no newer configuration can have been in force for too long. */
  boolean isPolicyCurrent() {
    return context.nowMillis() - operators.confirmedMillis() <= context.settings().policyMillis();
  }

  private void operatorsChanged() {
    Set<String> closed = new HashSet<>();
    for (Entry e : operators.entries()) {
      context.directory().closedDomain(e).ifPresent(closed::add);
      if (e.revision() > policyRevision) {
        Optional<ClusterPolicy> p = context.directory().policy(e);
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
    changed.run();
  }

  private void runnersChanged() {
    Set<String> keys = new HashSet<>();
    for (Entry e : runnerEntries.entries()) {
      keys.add(e.key());
      Entry before = decodedFrom.put(e.key(), e);
      if (before == null || before.revision() != e.revision()) {
        decode(e);
      }
    }
    decodedFrom.keySet().retainAll(keys);
    decoded.keySet().retainAll(keys);
    if (context.nowMillis() >= keepUntilMillis) {
      known.clear();
    }
    decoded.values().forEach(d -> known.put(d.id(), d));
    changed.run();
  }

  private void decode(Entry e) {
    Optional<RunnerDescription> d = context.directory().runner(e);
    if (d.isPresent()) {
      decoded.put(e.key(), d.get());
      ignored.remove(e.key());
      return;
    }
    decoded.remove(e.key());
    if (ignored.add(e.key())) {
      context.report(DispatchTopic.ENTRY_IGNORED, "key", e.key(), "revision", e.revision());
    }
  }

  /** Notes outages of the store, and drops runners that did not come back after one. */
  void expire() {
    long now = context.nowMillis();
    if (operators.isOverdue(OVERDUE_MILLIS)) {
      keepUntilMillis = now + RETURN_MILLIS;
      keeping = true;
    } else if (keeping && now >= keepUntilMillis) {
      keeping = false;
      List<String> before = new ArrayList<>(known.keySet());
      known.clear();
      decoded.values().forEach(d -> known.put(d.id(), d));
      if (!before.equals(new ArrayList<>(known.keySet()))) {
        changed.run();
      }
    }
  }
}
