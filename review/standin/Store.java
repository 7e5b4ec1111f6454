import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: items, revisions, watches, transactions and leases. */
final class Store {

  /** Largest value, in bytes, as the settings state it under {@code value-bytes}. */
  static final int VALUE_BYTES = 1_048_576;

  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1_000_000;
  private static final int MAX_ENTRIES = 32;

  private record Item(String key, String value, long revision, long created, long lease) {}

  private record Event(Item item, boolean deleted) {}

  private static final class Lease {
    long ttlMillis;
    long expiresMillis;
  }

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 10;
  private long nextLease = 1;
  private boolean down;
  private long downSinceMillis;
  private boolean rejectionLogged;
  final Http http;

  Store() throws IOException {
    http = new Http(this::handle);
    Thread t = new Thread(this::expireLeases);
    t.setDaemon(true);
    t.start();
  }

  /** Writes a key as the operator or a runner does; false while the store is down. */
  synchronized boolean put(String key, String value) {
    if (down) {
      return false;
    }
    revision++;
    set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    return true;
  }

  /** Removes a key as the store does with the entry of a silent runner. */
  synchronized void remove(String key) {
    revision++;
    delete(key);
  }

  /** Takes the store down (each call is answered with 503 and does nothing) or up again. */
  synchronized void setDown(boolean isDown) {
    if (isDown && !down) {
      downSinceMillis = Log.now();
    } else if (!isDown && down) {
      // Leases pause while the store is down.
      long pause = Log.now() - downSinceMillis;
      leases.values().forEach(l -> l.expiresMillis += pause);
    }
    down = isDown;
    notifyAll();
  }

  private void set(String key, String value, long lease) {
    Item old = items.get(key);
    Item i = new Item(key, value, revision, old == null ? revision : old.created(), lease);
    items.put(key, i);
    history.add(new Event(i, false));
    notifyAll();
  }

  private void delete(String key) {
    if (items.remove(key) != null) {
      history.add(new Event(new Item(key, "", revision, 0, 0), true));
      notifyAll();
    }
  }

  private void expireLeases() {
    try {
      while (true) {
        Thread.sleep(10);
        synchronized (this) {
          for (Map.Entry<Long, Lease> e : Map.copyOf(leases).entrySet()) {
            if (!down && e.getValue().expiresMillis <= Log.now()) {
              end(e.getKey());
            }
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void end(long lease) {
    leases.remove(lease);
    List<String> keys =
        items.values().stream().filter(i -> i.lease() == lease).map(Item::key).toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::delete);
    }
  }

  private Http.Answer handle(Http.Request r) throws InterruptedException {
    // An answer takes 4 ms, as the pages say.
    Thread.sleep(4);
    synchronized (this) {
      if (down) {
        return Http.Answer.of(503);
      }
      String path = r.path();
      if (path.equals("/kv-key")) {
        Item i = items.get(r.query().get("key"));
        ObjectNode n = i == null ? Http.object() : json(i);
        return new Http.Answer(i == null ? 404 : 200, n.put("at-rev", revision));
      } else if (path.equals("/kv-range")) {
        return range(r.query());
      } else if (path.equals("/kv-watch")) {
        return watch(r.query());
      } else if (path.equals("/kv-txn")) {
        return transaction(r.body());
      } else if (path.equals("/kv-lease")) {
        Lease l = new Lease();
        l.ttlMillis = r.body().path("ttl-ms").asLong();
        l.expiresMillis = Log.now() + l.ttlMillis;
        leases.put(nextLease, l);
        return ok(Http.object().put("lease", nextLease++).put("ttl-ms", l.ttlMillis));
      } else if (path.startsWith("/kv-keep/")) {
        Lease l = leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
        if (l == null) {
          return Http.Answer.of(404);
        }
        l.expiresMillis = Log.now() + l.ttlMillis;
        return ok(Http.object().put("ttl-ms", l.ttlMillis));
      } else if (path.startsWith("/kv-lease-end/")) {
        end(Long.parseLong(path.substring("/kv-lease-end/".length())));
        return ok(Http.object());
      }
      return Http.Answer.of(400);
    }
  }

  private static Http.Answer ok(JsonNode n) {
    return new Http.Answer(200, n);
  }

  private static ObjectNode json(Item i) {
    return Http.object()
        .put("key", i.key())
        .put("value", i.value())
        .put("revision", i.revision())
        .put("created", i.created())
        .put("lease", i.lease());
  }

  private Http.Answer range(Map<String, String> q) {
    String prefix = q.get("prefix");
    String after = q.getOrDefault("after", "");
    ObjectNode n = Http.object();
    ArrayNode list = n.putArray("items");
    int bytes = 0;
    boolean more = false;
    for (Item i : items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
      if (!i.key().startsWith(prefix)) {
        break;
      }
      if (list.size() == PAGE_ITEMS || bytes > PAGE_BYTES) {
        more = true;
        break;
      }
      bytes += i.value().length();
      list.add(json(i));
    }
    return ok(n.put("has-more", more).put("at-rev", revision));
  }

  private Http.Answer watch(Map<String, String> q) throws InterruptedException {
    long after = Long.parseLong(q.get("after"));
    long deadline = Log.now() + Long.parseLong(q.getOrDefault("wait-ms", "0"));
    int from = 0;
    while (true) {
      ArrayNode events = Http.JSON.createArrayNode();
      for (; from < history.size(); from++) {
        Event e = history.get(from);
        if (e.item().revision() > after && e.item().key().startsWith(q.get("prefix"))) {
          events.add(
              e.deleted()
                  ? Http.object()
                      .put("key", e.item().key())
                      .put("revision", e.item().revision())
                      .put("deleted", true)
                  : json(e.item()));
        }
      }
      long left = deadline - Log.now();
      if (down) {
        return Http.Answer.of(503);
      } else if (!events.isEmpty() || left <= 0) {
        ObjectNode n = Http.object().put("at-rev", revision);
        n.set("events", events);
        return ok(n);
      }
      wait(left);
    }
  }

  private Http.Answer transaction(JsonNode body) {
    int entries =
        body.path("expected-rev").size() + body.path("writes").size() + body.path("deletes").size();
    if (entries > MAX_ENTRIES) {
      Log.line("store: rejected a transaction of " + entries + " entries");
      return Http.Answer.of(400);
    }
    for (JsonNode w : body.path("writes")) {
      int bytes = Base64.getDecoder().decode(w.path("value").asText()).length;
      if (bytes > VALUE_BYTES) {
        if (!rejectionLogged) {
          rejectionLogged = true;
          Log.say("store: rejects a value of " + bytes + " bytes for " + w.path("key").asText());
        }
        return Http.Answer.of(400);
      }
    }
    boolean holds = true;
    ArrayNode current = Http.JSON.createArrayNode();
    for (JsonNode c : body.path("expected-rev")) {
      Item i = items.get(c.path("key").asText());
      holds &= (i == null ? 0 : i.revision()) == c.path("revision").asLong();
      if (i != null) {
        current.add(json(i));
      }
    }
    if (!holds) {
      ObjectNode n = Http.object();
      n.set("items", current);
      return new Http.Answer(412, n);
    }
    for (JsonNode w : body.path("writes")) {
      long lease = w.path("lease").asLong();
      if (lease != 0 && !leases.containsKey(lease)) {
        return Http.Answer.of(404);
      }
    }
    revision++;
    body.path("writes")
        .forEach(
            w ->
                set(
                    w.path("key").asText(),
                    w.path("value").asText(),
                    w.path("lease").asLong()));
    body.path("deletes").forEach(d -> delete(d.asText()));
    return ok(Http.object().put("revision", revision));
  }

  /** Returns the name of the node that owns the workflows, empty if there is none. */
  synchronized String ownerValue(String key) {
    Item i = items.get(key);
    return i == null
        ? ""
        : new String(Base64.getDecoder().decode(i.value()), StandardCharsets.ISO_8859_1);
  }
}
