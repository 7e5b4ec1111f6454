package dev.dandelionport.core.manifest;

import dev.dandelionport.core.common.JsonFields;
import dev.dandelionport.core.common.JsonProblem;
import dev.dandelionport.core.common.JsonProblems;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Reads a manifest from JSON. A manifest is accepted as a whole or refused with all its faults and
 * their JSON paths. Not thread-safe; one reader reads one document.
 */
public final class ManifestReader {

  /** Largest manifest in bytes: the store takes values up to 1 MB. */
  public static final int MAX_BYTES = 1_000_000;

  private static final int MAX_REGIONS = 16;
  private static final int MAX_PARTITIONS = 64;
  private static final int MAX_FAILURE_DOMAINS = 256;
  private static final int MAX_TEAMS = 1_000;
  private static final int MAX_KEYS = 64;
  private static final int MAX_QUEUES = 1_000;
  private static final int MAX_CLIENT_ACCOUNTS = 1_000;
  private static final int MAX_COUNT = 1_000_000;
  private static final int MAX_PERCENT = 100;

  private static final String ID_RULE = "1 to 63 characters of [a-z0-9-]";
  private static final Predicate<String> ID = Pattern.compile("[a-z0-9-]{1,63}").asMatchPredicate();
  private static final String SALT_RULE = "16 to 64 lower-case hexadecimal digits, an even number";
  private static final Predicate<String> SALT =
      Pattern.compile("([0-9a-f]{2}){8,32}").asMatchPredicate();
  private static final String HASH_RULE = "64 lower-case hexadecimal digits (SHA-256)";
  private static final Predicate<String> HASH = Pattern.compile("[0-9a-f]{64}").asMatchPredicate();

  private final JsonProblems problems = new JsonProblems();

  private ManifestReader() {}

  /** Reads a manifest without comparing it with an earlier one. */
  public static ManifestResult read(byte[] json) {
    ManifestReader r = new ManifestReader();
    Optional<Manifest> m = r.parse(json);
    return r.result(m);
  }

  /** Reads a manifest that is to follow {@code base}, or to be the first one. */
  public static ManifestResult readNext(byte[] json, Optional<Manifest> base) {
    ManifestReader r = new ManifestReader();
    Optional<Manifest> m = r.parse(json);
    m.ifPresent(next -> r.compare(base, next));
    return r.result(m);
  }

  private ManifestResult result(Optional<Manifest> m) {
    List<JsonProblem> list = problems.list();
    return new ManifestResult(list.isEmpty() ? m : Optional.empty(), list);
  }

  private Optional<Manifest> parse(byte[] json) {
    if (json.length > MAX_BYTES) {
      problems.add("$", "must have at most " + MAX_BYTES + " bytes; found " + json.length);
      return Optional.empty();
    }
    return problems.parse(json).map(this::manifest);
  }

  private Manifest manifest(JsonFields f) {
    final long version = f.number("version", 1, Long.MAX_VALUE - 1);
    final String cell = id(f, "cell");
    List<Region> regions = new ArrayList<>();
    Set<String> regionIds = new HashSet<>();
    for (JsonFields x : f.objects("regions", 1, MAX_REGIONS)) {
      regions.add(
          new Region(uniqueId(x, regionIds), (int) x.number("partitions", 1, MAX_PARTITIONS)));
      x.rejectUnknownFields();
    }
    final List<FailureDomain> domains = domains(f, regionIds);
    boolean accountsListed = f.has("clientAccounts");
    Set<String> accountIds = new HashSet<>();
    final List<ClientAccount> accounts = accounts(f, accountIds);
    Set<String> teamIds = new HashSet<>();
    List<Team> teams = teams(f, regionIds, accountsListed ? accountIds : null, teamIds);
    List<Queue> queues = queues(f, teamIds);
    Policies policies = policies(f.object("policies"));
    f.ignore("commit");
    f.rejectUnknownFields();
    return new Manifest(
        version, cell, regions, domains, teams, queues, accounts, policies, Commit.NONE);
  }

  private static List<FailureDomain> domains(JsonFields f, Set<String> regionIds) {
    List<FailureDomain> domains = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    Set<String> covered = new HashSet<>();
    for (JsonFields x : f.objects("failureDomains", 1, MAX_FAILURE_DOMAINS)) {
      String id = uniqueId(x, ids);
      String region = reference(x, "region", regionIds, "region");
      covered.add(region);
      domains.add(new FailureDomain(id, region, x.bool("inService", null)));
      x.rejectUnknownFields();
    }
    for (String r : regionIds) {
      if (!covered.contains(r) && !r.isEmpty()) {
        f.addProblem("failureDomains", "must have at least one failure domain in region " + r);
      }
    }
    return domains;
  }

  private static List<ClientAccount> accounts(JsonFields f, Set<String> ids) {
    List<ClientAccount> accounts = new ArrayList<>();
    for (JsonFields x : f.objects("clientAccounts", 0, MAX_CLIENT_ACCOUNTS)) {
      String id = uniqueId(x, ids);
      String rule = "a text of 1 to 200 characters";
      String name = x.text("name", id, s -> !s.isBlank() && s.length() <= 200, rule);
      accounts.add(new ClientAccount(id, name));
      x.rejectUnknownFields();
    }
    return accounts;
  }

  private static List<Team> teams(
      JsonFields f, Set<String> regionIds, Set<String> accountIds, Set<String> teamIds) {
    List<Team> teams = new ArrayList<>();
    Set<String> keyIds = new HashSet<>();
    for (JsonFields x : f.objects("teams", 0, MAX_TEAMS)) {
      String id = uniqueId(x, teamIds);
      String account =
          accountIds == null
              ? id(x, "clientAccount")
              : reference(x, "clientAccount", accountIds, "client account");
      String region = reference(x, "homeRegion", regionIds, "region");
      double share = x.positiveNumber("share", MAX_COUNT);
      int limit = (int) x.number("limit", 0, MAX_COUNT);
      int admission = (int) x.number("admissionPerSecond", 0, MAX_COUNT);
      List<TeamKey> keys = new ArrayList<>();
      for (JsonFields k : x.objects("keys", 0, MAX_KEYS)) {
        String keyId = uniqueId(k, keyIds);
        keys.add(new TeamKey(keyId, k.text("salt", SALT, SALT_RULE), hash(k)));
        k.rejectUnknownFields();
      }
      x.rejectUnknownFields();
      teams.add(new Team(id, account, region, share, limit, admission, keys));
    }
    return teams;
  }

  private static String hash(JsonFields k) {
    return k.text("hash", HASH, HASH_RULE);
  }

  private static List<Queue> queues(JsonFields f, Set<String> teamIds) {
    List<Queue> queues = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (JsonFields x : f.objects("queues", 0, MAX_QUEUES)) {
      final String id = uniqueId(x, ids);
      boolean open = x.bool("open", false);
      String team = "";
      if (open || x.has("team")) {
        team = reference(x, "team", teamIds, "team");
      } else {
        x.ignore("team");
      }
      WorkloadClass c = null;
      if (x.has("defaultClass")) {
        c = x.choice("defaultClass", null, WorkloadClass.values());
      } else {
        x.ignore("defaultClass");
      }
      String rule = HASH_RULE.replace(" (SHA-256)", "") + ", because the queue is open";
      String tokenKey =
          x.secret("tokenKey", open ? null : "", s -> HASH.test(s) || !open && s.isEmpty(), rule);
      x.rejectUnknownFields();
      queues.add(new Queue(id, team, open, c, tokenKey));
    }
    return queues;
  }

  private static Policies policies(JsonFields f) {
    Policies p =
        new Policies(
            policy(f.object("urgent"), Policies.DEFAULT.urgent()),
            policy(f.object("deferrable"), Policies.DEFAULT.deferrable()),
            policy(f.object("service"), Policies.DEFAULT.service()),
            policy(f.object("gang"), Policies.DEFAULT.gang()));
    f.rejectUnknownFields();
    int headroom =
        p.urgent().headroomPercent()
            + p.deferrable().headroomPercent()
            + p.service().headroomPercent()
            + p.gang().headroomPercent();
    if (headroom > MAX_PERCENT) {
      f.addProblem("*.headroomPercent", "must add up to at most 100; found " + headroom);
    }
    return p;
  }

  private static ClassPolicy policy(JsonFields f, ClassPolicy d) {
    ClassPolicy p =
        new ClassPolicy(
            f.choice("placement", d.placement(), Placement.values()),
            f.choice("preemption", d.preemption(), Preemption.values()),
            (int) f.number("headroomPercent", (long) d.headroomPercent(), 0, MAX_PERCENT),
            (int) f.number("queueBound", (long) d.queueBound(), 0, MAX_COUNT),
            f.choice("drainMode", d.drainMode(), DrainMode.values()),
            (int) f.number("retryBudgetPercent", (long) d.retryBudgetPercent(), 0, MAX_PERCENT));
    f.rejectUnknownFields();
    return p;
  }

  private void compare(Optional<Manifest> base, Manifest next) {
    long expected = base.map(Manifest::version).orElse(0L) + 1;
    if (next.version() != expected) {
      problems.add(
          "$.version",
          "must be "
              + expected
              + ", one more than the version it is based on; found "
              + next.version());
    }
    if (base.isEmpty()) {
      return;
    }
    if (!next.cell().equals(base.get().cell())) {
      problems.add("$.cell", "must stay " + base.get().cell() + "; found " + next.cell());
    }
    for (Region was : base.get().regions()) {
      int i = next.regions().stream().map(Region::id).toList().indexOf(was.id());
      if (i < 0) {
        problems.add("$.regions", "must keep region " + was.id());
      } else if (next.regions().get(i).partitions() != was.partitions()) {
        problems.add(
            "$.regions[" + i + "].partitions",
            "must stay " + was.partitions() + ", it is fixed for the life of the cell");
      }
    }
  }

  private static String id(JsonFields f, String name) {
    return f.text(name, ID, ID_RULE);
  }

  private static String uniqueId(JsonFields f, Set<String> seen) {
    String id = id(f, "id");
    if (!id.isEmpty() && !seen.add(id)) {
      f.addProblem("id", "must be unique; " + id + " appears more than once");
    }
    return id;
  }

  private static String reference(JsonFields f, String name, Set<String> ids, String what) {
    String id = id(f, name);
    if (!id.isEmpty() && !ids.contains(id)) {
      String allowed = String.join(", ", ids.stream().sorted().limit(20).toList());
      f.addProblem(
          name, "must name a " + what + " of this manifest (" + allowed + "); found " + id);
    }
    return id;
  }
}
