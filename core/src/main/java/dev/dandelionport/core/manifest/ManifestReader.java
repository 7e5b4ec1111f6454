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
 * Reads and validates a manifest in JSON. An invalid manifest is rejected as a whole, with all its
 * problems and their JSON paths. Not thread-safe; one reader reads one document.
 */
public final class ManifestReader {

  /** Maximum size of a manifest in bytes; the store accepts values up to 1 MB. */
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
    Optional<Manifest> m = r.parseDocument(json);
    return r.result(m);
  }

  /**
   * Reads a manifest that must be a valid successor of {@code base}, or the first one if {@code
   * base} is empty.
   */
  public static ManifestResult readNext(byte[] json, Optional<Manifest> base) {
    ManifestReader r = new ManifestReader();
    Optional<Manifest> m = r.parseDocument(json);
    m.ifPresent(next -> r.checkSuccessor(base, next));
    return r.result(m);
  }

  private ManifestResult result(Optional<Manifest> m) {
    List<JsonProblem> list = problems.list();
    return new ManifestResult(list.isEmpty() ? m : Optional.empty(), list);
  }

  private Optional<Manifest> parseDocument(byte[] json) {
    if (json.length > MAX_BYTES) {
      problems.add("$", "must have at most " + MAX_BYTES + " bytes; found " + json.length);
      return Optional.empty();
    }
    return problems.parse(json).map(this::parseManifest);
  }

  private Manifest parseManifest(JsonFields f) {
    final long version = f.number("version", 1, Long.MAX_VALUE - 1);
    final String cell = requiredId(f, "cell");
    List<Region> regions = new ArrayList<>();
    Set<String> regionIds = new HashSet<>();
    for (JsonFields item : f.objects("regions", 1, MAX_REGIONS)) {
      regions.add(
          new Region(
              uniqueId(item, regionIds), (int) item.number("partitions", 1, MAX_PARTITIONS)));
      item.rejectUnknownFields();
    }
    final List<FailureDomain> domains = parseFailureDomains(f, regionIds);
    boolean accountsListed = f.has("clientAccounts");
    Set<String> accountIds = new HashSet<>();
    final List<ClientAccount> accounts = parseClientAccounts(f, accountIds);
    Set<String> teamIds = new HashSet<>();
    List<Team> teams = parseTeams(f, regionIds, accountsListed ? accountIds : null, teamIds);
    List<Queue> queues = parseQueues(f, teamIds);
    Policies policies = parsePolicies(f.object("policies"));
    f.ignore("commit");
    f.rejectUnknownFields();
    return new Manifest(
        version, cell, regions, domains, teams, queues, accounts, policies, Commit.NONE);
  }

  private static List<FailureDomain> parseFailureDomains(JsonFields f, Set<String> regionIds) {
    List<FailureDomain> domains = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    Set<String> regionsWithDomain = new HashSet<>();
    for (JsonFields item : f.objects("failureDomains", 1, MAX_FAILURE_DOMAINS)) {
      String id = uniqueId(item, ids);
      String region = requiredReference(item, "region", regionIds, "region");
      regionsWithDomain.add(region);
      domains.add(new FailureDomain(id, region, item.bool("inService", null)));
      item.rejectUnknownFields();
    }
    for (String r : regionIds) {
      if (!regionsWithDomain.contains(r) && !r.isEmpty()) {
        f.addProblem("failureDomains", "must have at least one failure domain in region " + r);
      }
    }
    return domains;
  }

  private static List<ClientAccount> parseClientAccounts(JsonFields f, Set<String> ids) {
    List<ClientAccount> accounts = new ArrayList<>();
    for (JsonFields item : f.objects("clientAccounts", 0, MAX_CLIENT_ACCOUNTS)) {
      String id = uniqueId(item, ids);
      String rule = "a text of 1 to 200 characters";
      String name = item.text("name", id, s -> !s.isBlank() && s.length() <= 200, rule);
      accounts.add(new ClientAccount(id, name));
      item.rejectUnknownFields();
    }
    return accounts;
  }

  private static List<Team> parseTeams(
      JsonFields f, Set<String> regionIds, Set<String> accountIds, Set<String> teamIds) {
    List<Team> teams = new ArrayList<>();
    Set<String> keyIds = new HashSet<>();
    for (JsonFields item : f.objects("teams", 0, MAX_TEAMS)) {
      String id = uniqueId(item, teamIds);
      String account =
          accountIds == null
              ? requiredId(item, "clientAccount")
              : requiredReference(item, "clientAccount", accountIds, "client account");
      String region = requiredReference(item, "homeRegion", regionIds, "region");
      double share = item.positiveNumber("share", MAX_COUNT);
      int limit = (int) item.number("limit", 0, MAX_COUNT);
      int admission = (int) item.number("admissionPerSecond", 0, MAX_COUNT);
      List<TeamKey> keys = new ArrayList<>();
      for (JsonFields k : item.objects("keys", 0, MAX_KEYS)) {
        String keyId = uniqueId(k, keyIds);
        keys.add(new TeamKey(keyId, k.text("salt", SALT, SALT_RULE), requiredHash(k)));
        k.rejectUnknownFields();
      }
      item.rejectUnknownFields();
      teams.add(new Team(id, account, region, share, limit, admission, keys));
    }
    return teams;
  }

  private static String requiredHash(JsonFields k) {
    return k.text("hash", HASH, HASH_RULE);
  }

  private static List<Queue> parseQueues(JsonFields f, Set<String> teamIds) {
    List<Queue> queues = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (JsonFields item : f.objects("queues", 0, MAX_QUEUES)) {
      final String id = uniqueId(item, ids);
      boolean open = item.bool("open", false);
      String team = "";
      if (open || item.has("team")) {
        team = requiredReference(item, "team", teamIds, "team");
      } else {
        item.ignore("team");
      }
      WorkloadClass c = null;
      if (item.has("defaultClass")) {
        c = item.choice("defaultClass", null, WorkloadClass.values());
      } else {
        item.ignore("defaultClass");
      }
      String rule = HASH_RULE.replace(" (SHA-256)", "") + ", because the queue is open";
      String tokenKey =
          item.secret(
              "tokenKey", open ? null : "", s -> HASH.test(s) || !open && s.isEmpty(), rule);
      item.rejectUnknownFields();
      queues.add(new Queue(id, team, open, c, tokenKey));
    }
    return queues;
  }

  private static Policies parsePolicies(JsonFields f) {
    Policies p =
        new Policies(
            parsePolicy(f.object("urgent"), Policies.DEFAULT.urgent()),
            parsePolicy(f.object("deferrable"), Policies.DEFAULT.deferrable()),
            parsePolicy(f.object("service"), Policies.DEFAULT.service()),
            parsePolicy(f.object("gang"), Policies.DEFAULT.gang()));
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

  private static ClassPolicy parsePolicy(JsonFields f, ClassPolicy defaults) {
    ClassPolicy p =
        new ClassPolicy(
            f.choice("placement", defaults.placement(), Placement.values()),
            f.choice("preemption", defaults.preemption(), Preemption.values()),
            (int) f.number("headroomPercent", (long) defaults.headroomPercent(), 0, MAX_PERCENT),
            (int) f.number("queueBound", (long) defaults.queueBound(), 0, MAX_COUNT),
            f.choice("drainMode", defaults.drainMode(), DrainMode.values()),
            (int)
                f.number(
                    "retryBudgetPercent", (long) defaults.retryBudgetPercent(), 0, MAX_PERCENT));
    f.rejectUnknownFields();
    return p;
  }

  private void checkSuccessor(Optional<Manifest> base, Manifest next) {
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
    for (Region baseRegion : base.get().regions()) {
      int i = next.regions().stream().map(Region::id).toList().indexOf(baseRegion.id());
      if (i < 0) {
        problems.add("$.regions", "must keep region " + baseRegion.id());
      } else if (next.regions().get(i).partitions() != baseRegion.partitions()) {
        problems.add(
            "$.regions[" + i + "].partitions",
            "must stay " + baseRegion.partitions() + ", it is fixed for the life of the cell");
      }
    }
  }

  private static String requiredId(JsonFields f, String name) {
    return f.text(name, ID, ID_RULE);
  }

  private static String uniqueId(JsonFields f, Set<String> usedIds) {
    String id = requiredId(f, "id");
    if (!id.isEmpty() && !usedIds.add(id)) {
      f.addProblem("id", "must be unique; " + id + " appears more than once");
    }
    return id;
  }

  private static String requiredReference(
      JsonFields f, String name, Set<String> ids, String elementKind) {
    String id = requiredId(f, name);
    if (!id.isEmpty() && !ids.contains(id)) {
      String allowed = String.join(", ", ids.stream().sorted().limit(20).toList());
      f.addProblem(
          name, "must name a " + elementKind + " of this manifest (" + allowed + "); found " + id);
    }
    return id;
  }
}
