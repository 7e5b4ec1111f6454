package dev.dandelionport.core.manifest;

import dev.dandelionport.core.common.WorkloadClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;

/** Lists the changes from one manifest to another. */
public final class ManifestDiff {

  private final List<ManifestChange> changes = new ArrayList<>();

  private ManifestDiff() {}

  /** Returns the changes from {@code before} to {@code after} in a fixed order. */
  public static List<ManifestChange> between(Manifest before, Manifest after) {
    ManifestDiff diff = new ManifestDiff();
    diff.each(before.regions(), after.regions(), Region::id, "region", diff::compareRegions);
    diff.each(
        before.failureDomains(),
        after.failureDomains(),
        FailureDomain::id,
        "failure_domain",
        diff::compareFailureDomains);
    diff.each(
        before.clientAccounts(),
        after.clientAccounts(),
        ClientAccount::id,
        "client_account",
        (x, y) -> diff.compareValues("client_account_name", x.id(), x.name(), y.name()));
    diff.each(before.teams(), after.teams(), Team::id, "team", diff::compareTeams);
    diff.compareKeys(before, after);
    diff.each(before.queues(), after.queues(), Queue::id, "queue", diff::compareQueues);
    for (WorkloadClass c : WorkloadClass.values()) {
      diff.comparePolicies(
          c.name().toLowerCase(Locale.ROOT), before.policies().of(c), after.policies().of(c));
    }
    return List.copyOf(diff.changes);
  }

  private void compareRegions(Region before, Region after) {
    compareValues("region_partitions", before.id(), before.partitions(), after.partitions());
  }

  private void compareFailureDomains(FailureDomain before, FailureDomain after) {
    compareValues("failure_domain_region", before.id(), before.region(), after.region());
    if (before.inService() != after.inService()) {
      String kind = after.inService() ? "failure_domain_returned" : "failure_domain_drained";
      changes.add(new ManifestChange(kind, before.id(), "", ""));
    }
  }

  private void compareTeams(Team before, Team after) {
    compareValues(
        "team_client_account", before.id(), before.clientAccount(), after.clientAccount());
    compareValues("team_home_region", before.id(), before.homeRegion(), after.homeRegion());
    compareValues("team_share", before.id(), before.share(), after.share());
    compareValues("team_limit", before.id(), before.limit(), after.limit());
    compareValues(
        "team_admission", before.id(), before.admissionPerSecond(), after.admissionPerSecond());
  }

  /**
   * Compares keys by team and id; a key whose secret changed is listed as withdrawn and granted.
   */
  private void compareKeys(Manifest before, Manifest after) {
    Map<String, TeamKey> oldKeys = keysByName(before);
    Map<String, TeamKey> newKeys = keysByName(after);
    oldKeys.forEach(
        (name, k) -> {
          if (!k.equals(newKeys.get(name))) {
            changes.add(new ManifestChange("key_withdrawn", name, "", ""));
          }
        });
    newKeys.forEach(
        (name, k) -> {
          if (!k.equals(oldKeys.get(name))) {
            changes.add(new ManifestChange("key_granted", name, "", ""));
          }
        });
  }

  private static Map<String, TeamKey> keysByName(Manifest m) {
    Map<String, TeamKey> keys = new LinkedHashMap<>();
    m.teams().forEach(t -> t.keys().forEach(k -> keys.put(t.id() + "/" + k.id(), k)));
    return keys;
  }

  private void compareQueues(Queue before, Queue after) {
    compareValues("queue_team", before.id(), before.team(), after.team());
    compareValues("queue_open", before.id(), before.open(), after.open());
    compareValues(
        "queue_default_class",
        before.id(),
        className(before.defaultClass()),
        className(after.defaultClass()));
    if (!before.tokenKey().equals(after.tokenKey())) {
      changes.add(new ManifestChange("queue_token_key", before.id(), "", ""));
    }
  }

  private static String className(WorkloadClass c) {
    return c == null ? "none" : c.name().toLowerCase(Locale.ROOT);
  }

  private void comparePolicies(String name, ClassPolicy before, ClassPolicy after) {
    compareValues("policy_placement", name, before.placement(), after.placement());
    compareValues("policy_preemption", name, before.preemption(), after.preemption());
    compareValues(
        "policy_headroom_percent", name, before.headroomPercent(), after.headroomPercent());
    compareValues("policy_queue_bound", name, before.queueBound(), after.queueBound());
    compareValues("policy_drain_mode", name, before.drainMode(), after.drainMode());
    compareValues(
        "policy_retry_budget_percent",
        name,
        before.retryBudgetPercent(),
        after.retryBudgetPercent());
  }

  private void compareValues(String kind, String subject, Object before, Object after) {
    if (!before.equals(after)) {
      changes.add(new ManifestChange(kind, subject, format(before), format(after)));
    }
  }

  private static String format(Object o) {
    return o instanceof Enum<?> e ? e.name().toLowerCase(Locale.ROOT) : String.valueOf(o);
  }

  private <T> void each(
      List<T> before,
      List<T> after,
      Function<T, String> id,
      String kind,
      BiConsumer<T, T> compare) {
    Map<String, T> remaining = new LinkedHashMap<>();
    after.forEach(element -> remaining.put(id.apply(element), element));
    for (T element : before) {
      T newElement = remaining.remove(id.apply(element));
      if (newElement == null) {
        changes.add(new ManifestChange(kind + "_removed", id.apply(element), "", ""));
      } else {
        compare.accept(element, newElement);
      }
    }
    remaining
        .keySet()
        .forEach(name -> changes.add(new ManifestChange(kind + "_added", name, "", "")));
  }
}
