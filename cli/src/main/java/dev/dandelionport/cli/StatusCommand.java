package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import java.time.Instant;
import java.util.Locale;

/** Prints the manifest version, instances, partitions, failure domains and teams of the cell. */
@Command(
    name = "status",
    description = "Shows manifest version, instances, partitions, failure domains and teams")
public final class StatusCommand extends ApiCommand {

  @Override
  public Integer call() {
    JsonNode n = api.client().get("/v1/operator/status").bodyOrThrow();
    print(n, () -> printStatus(n));
    return ExitStatus.DONE;
  }

  private static void printStatus(JsonNode n) {
    JsonNode m = n.path("manifest");
    System.out.printf(
        Locale.ROOT,
        "manifest version %d, committed by %s at %s; seen by %s%n",
        m.path("version").asLong(),
        m.path("author").asText(),
        Instant.ofEpochMilli(m.path("committedMillis").asLong()),
        n.path("instance").asText());
    System.out.printf(
        Locale.ROOT,
        "%n%-28s %-12s %-10s %-5s %s%n",
        "INSTANCE",
        "REGION",
        "DOMAIN",
        "LIVE",
        "MANIFEST");
    for (JsonNode i : n.path("instances")) {
      System.out.printf(
          Locale.ROOT,
          "%-28s %-12s %-10s %-5s %s%n",
          text(i, "id"),
          text(i, "region"),
          text(i, "failureDomain"),
          i.path("live").asBoolean() ? "yes" : "no",
          text(i, "manifestVersion"));
    }
    System.out.printf(
        Locale.ROOT,
        "%n%-14s %-28s %6s %8s %8s %8s%n",
        "PARTITION",
        "OWNER",
        "EPOCH",
        "WAITING",
        "RUNNING",
        "WORKERS");
    for (JsonNode p : n.path("partitions")) {
      System.out.printf(
          Locale.ROOT,
          "%-14s %-28s %6s %8s %8s %8s%n",
          text(p, "id"),
          text(p, "owner") + (p.path("ownerLive").asBoolean() ? "" : " (not live)"),
          text(p, "epoch"),
          text(p, "waitingTasks"),
          text(p, "runningTasks"),
          text(p, "workersUsable"));
    }
    System.out.printf(
        Locale.ROOT,
        "%n%-14s %-12s %-10s %8s %8s%n",
        "DOMAIN",
        "REGION",
        "SERVICE",
        "WORKERS",
        "RUNNING");
    for (JsonNode d : n.path("failureDomains")) {
      System.out.printf(
          Locale.ROOT,
          "%-14s %-12s %-10s %8s %8s%n",
          text(d, "id"),
          text(d, "region"),
          d.path("inService").asBoolean() ? "in" : "out",
          text(d, "workers"),
          text(d, "runningTasks"));
    }
    System.out.printf(
        Locale.ROOT,
        "%n%-16s %-20s %7s %8s %8s %10s%n",
        "TEAM",
        "CLIENT ACCOUNT",
        "SHARE",
        "RUNNING",
        "LIMIT",
        "DEVIATION");
    for (JsonNode t : n.path("teams")) {
      System.out.printf(
          Locale.ROOT,
          "%-16s %-20s %7s %8s %8s %10s%n",
          text(t, "id"),
          text(t, "clientAccount"),
          text(t, "share"),
          text(t, "runningTasks"),
          text(t, "limit"),
          t.has("deviation")
              ? String.format(Locale.ROOT, "%+.3f", t.path("deviation").asDouble())
              : "-");
    }
  }

  private static String text(JsonNode n, String field) {
    return n.path(field).asText("-");
  }
}
