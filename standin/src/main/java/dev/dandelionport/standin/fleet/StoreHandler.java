package dev.dandelionport.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.QueryParams;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Handles the HTTP requests to the metadata store. Runs on one thread. */
final class StoreHandler {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Interval at which waiting watch requests check for changes, in milliseconds. */
  private static final long POLL_INTERVAL_MILLIS = 5;

  private final MetadataStore store;
  private final ScheduledExecutorService executor;

  StoreHandler(MetadataStore store, ScheduledExecutorService executor) {
    this.store = store;
    this.executor = executor;
  }

  /** Handles a request; empty if the path does not belong to the store. */
  Optional<CompletableFuture<Reply>> handle(AggregatedHttpRequest r, String path, QueryParams q) {
    store.expireLeases(now());
    if (path.equals("/kv-key")) {
      return completed(
          store
              .get(q.get("key", ""))
              .map(i -> ok(itemJson(i, false)))
              .orElse(new Reply(404, "{}")));
    } else if (path.equals("/kv-range")) {
      return completed(range(q));
    } else if (path.equals("/kv-watch")) {
      CompletableFuture<Reply> reply = new CompletableFuture<>();
      watch(q, now() + Long.parseLong(q.get("wait-ms", "0")), reply);
      return Optional.of(reply);
    } else if (path.equals("/kv-txn")) {
      return completed(commit(parse(r)));
    } else if (path.equals("/kv-lease")) {
      long ttl = parse(r).path("ttl-ms").asLong();
      ObjectNode n = JSON.createObjectNode();
      return completed(ok(n.put("lease", store.grantLease(ttl, now())).put("ttl-ms", ttl)));
    } else if (path.startsWith("/kv-keep/")) {
      Optional<Long> ttl = store.renewLease(leaseId(path), now());
      return completed(
          ttl.map(t -> ok(JSON.createObjectNode().put("ttl-ms", t))).orElse(new Reply(404, "{}")));
    } else if (path.startsWith("/kv-lease-end/") && r.method() == HttpMethod.DELETE) {
      store.revokeLease(leaseId(path));
      return completed(new Reply(200, "{}"));
    }
    return Optional.empty();
  }

  private static Optional<CompletableFuture<Reply>> completed(Reply r) {
    return Optional.of(CompletableFuture.completedFuture(r));
  }

  private static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static long leaseId(String path) {
    return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
  }

  private static JsonNode parse(AggregatedHttpRequest r) {
    try {
      return JSON.readTree(r.content().array());
    } catch (java.io.IOException e) {
      throw new IllegalArgumentException("malformed body", e);
    }
  }

  private static Reply ok(JsonNode body) {
    return new Reply(200, body.toString());
  }

  private Reply range(QueryParams q) {
    List<MetadataStore.Item> items = store.range(q.get("prefix", ""), q.get("after", ""));
    ObjectNode n = JSON.createObjectNode();
    ArrayNode list = n.putArray("items");
    items.forEach(i -> list.add(itemJson(i, false)));
    n.put("has-more", items.size() == MetadataStore.PAGE_SIZE).put("at-rev", store.revision());
    return ok(n);
  }

  private void watch(QueryParams q, long deadline, CompletableFuture<Reply> reply) {
    store.expireLeases(now());
    long after = Long.parseLong(q.get("after", "0"));
    Optional<List<MetadataStore.Event>> events = store.changes(q.get("prefix", ""), after);
    if (events.isEmpty()) {
      reply.complete(new Reply(410, "{}"));
    } else if (!events.get().isEmpty() || now() >= deadline) {
      ObjectNode n = JSON.createObjectNode();
      ArrayNode list = n.putArray("events");
      events.get().forEach(e -> list.add(itemJson(e.item(), e.deleted())));
      reply.complete(ok(n.put("at-rev", store.revision())));
    } else {
      executor.schedule(
          () -> watch(q, deadline, reply), POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private Reply commit(JsonNode body) {
    ArrayNode current = JSON.createArrayNode();
    boolean conditionsHold = true;
    for (JsonNode c : body.path("expected-rev")) {
      String key = c.path("key").asText();
      conditionsHold &= store.hasRevision(key, c.path("revision").asLong());
      store.get(key).ifPresent(i -> current.add(itemJson(i, false)));
    }
    if (!conditionsHold) {
      ObjectNode n = JSON.createObjectNode();
      n.set("items", current);
      return new Reply(412, n.toString());
    }
    Map<String, String> writes = new LinkedHashMap<>();
    Map<String, Long> leases = new LinkedHashMap<>();
    for (JsonNode w : body.path("writes")) {
      String key = w.path("key").asText();
      long lease = w.path("lease").asLong();
      if (lease != 0 && !store.hasLease(lease)) {
        return new Reply(404, "{}");
      }
      writes.put(key, w.path("value").asText());
      leases.put(key, lease);
    }
    List<String> deletes = new ArrayList<>();
    body.path("deletes").forEach(d -> deletes.add(d.asText()));
    long revision = store.apply(writes, leases, deletes);
    return ok(JSON.createObjectNode().put("revision", revision));
  }

  private static ObjectNode itemJson(MetadataStore.Item i, boolean deleted) {
    ObjectNode n = JSON.createObjectNode();
    n.put("key", i.key()).put("revision", i.revision());
    if (deleted) {
      return n.put("deleted", true);
    }
    return n.put("value", i.value()).put("created", i.createdRevision()).put("lease", i.lease());
  }
}
