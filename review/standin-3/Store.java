package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's metadata store, by PROTOCOL.md. Each instance has a port of its own,
 * so that the store can turn single instances away.
 */
final class Store {

  /** What the store does with the calls of one machine. */
  enum Mode {
    SERVES,
    /** Answers 429. */
    MANY
  }

  private static final long ANSWER_MILLIS = 4;
  private static final int PAGE_ITEMS = 500;

  private record Item(String key, String value, long revision, long created, long lease) {
    Map<String, Object> json() {
      return Json.of(
          "key", key, "value", value, "revision", revision, "created", created, "lease", lease);
    }
  }

  private record Event(String key, long revision, Item item) {}

  private static final class Lease {
    final long ttlMillis;
    long endNanos;

    Lease(long ttlMillis) {
      this.ttlMillis = ttlMillis;
    }

    void renew() {
      endNanos = System.nanoTime() + ttlMillis * 1_000_000;
    }
  }

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Map<Integer, Mode> modes = new HashMap<>();
  private long revision = 1;
  private long nextLease = 1;
  private int lastConditionalWriter = -1;

  /** Starts the store with a port for each of {@code machines} instances. */
  int[] start(int machines) throws IOException {
    int[] ports = new int[machines];
    for (int i = 0; i < machines; i++) {
      int machine = i;
      HttpServer s = Http.serve(0, x -> handle(machine, x));
      ports[i] = s.getAddress().getPort();
    }
    Thread t = new Thread(this::expireLeases);
    t.setDaemon(true);
    t.start();
    return ports;
  }

  synchronized void setMode(int machine, Mode m) {
    modes.put(machine, m);
    notifyAll();
  }

  /** Returns the machine that last wrote under a condition; -1 for none. */
  synchronized int lastConditionalWriter() {
    return lastConditionalWriter;
  }

  /** Writes a key, as the operator or a runner does. */
  synchronized void put(String key, Map<String, Object> value) {
    revision++;
    write(key, Base64.getEncoder().encodeToString(Json.write(value).getBytes()), 0);
    notifyAll();
  }

  synchronized void delete(String key) {
    revision++;
    remove(key);
    notifyAll();
  }

  private void write(String key, String value, long lease) {
    Item before = items.get(key);
    Item i = new Item(key, value, revision, before == null ? revision : before.created(), lease);
    items.put(key, i);
    events.add(new Event(key, revision, i));
  }

  private void remove(String key) {
    if (items.remove(key) != null) {
      events.add(new Event(key, revision, null));
    }
  }

  private void expireLeases() {
    try {
      while (true) {
        Thread.sleep(10);
        synchronized (this) {
          long now = System.nanoTime();
          List<Long> ended = new ArrayList<>();
          leases.forEach(
              (id, l) -> {
                if (l.endNanos < now) {
                  ended.add(id);
                }
              });
          ended.forEach(this::endLease);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> keys =
        items.values().stream().filter(i -> i.lease() == id).map(Item::key).toList();
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(this::remove);
      notifyAll();
    }
  }

  private synchronized boolean turnsAway(int machine) {
    return modes.getOrDefault(machine, Mode.SERVES) != Mode.SERVES;
  }

  private void handle(int machine, HttpExchange x) throws IOException {
    try {
      String body = Http.body(x);
      Thread.sleep(ANSWER_MILLIS);
      if (turnsAway(machine)) {
        Http.answer(x, 429, Map.of());
        return;
      }
      String path = x.getRequestURI().getPath();
      Map<String, String> q = Http.query(x);
      if (path.equals("/kv-key")) {
        getKey(x, q.get("key"));
      } else if (path.equals("/kv-range")) {
        getRange(x, q.get("prefix"), q.getOrDefault("after", ""));
      } else if (path.equals("/kv-watch")) {
        long waitMillis = Long.parseLong(q.get("wait-ms"));
        watch(machine, x, q.get("prefix"), Long.parseLong(q.get("after")), waitMillis);
      } else if (path.equals("/kv-txn")) {
        commit(machine, x, Json.object(body));
      } else if (path.equals("/kv-lease")) {
        grantLease(x, Json.number(Json.object(body), "ttl-ms"));
      } else if (path.startsWith("/kv-keep/")) {
        keepLease(x, Long.parseLong(path.substring("/kv-keep/".length())));
      } else if (path.startsWith("/kv-lease-end/")) {
        synchronized (this) {
          endLease(Long.parseLong(path.substring("/kv-lease-end/".length())));
        }
        Http.answer(x, 200, Map.of());
      } else {
        Http.answer(x, 404, Map.of());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void getKey(HttpExchange x, String key) throws IOException {
    Map<String, Object> answer;
    synchronized (this) {
      Item i = items.get(key);
      answer = i == null ? null : i.json();
      if (answer != null) {
        answer.put("at-rev", revision);
      }
    }
    Http.answer(x, answer == null ? 404 : 200, answer == null ? Map.of() : answer);
  }

  private void getRange(HttpExchange x, String prefix, String after) throws IOException {
    List<Object> list = new ArrayList<>();
    boolean more = false;
    long at;
    synchronized (this) {
      at = revision;
      for (Item i : items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
        if (!i.key().startsWith(prefix)) {
          break;
        }
        if (list.size() == PAGE_ITEMS) {
          more = true;
          break;
        }
        list.add(i.json());
      }
    }
    Http.answer(x, 200, Json.of("items", list, "has-more", more, "at-rev", at));
  }

  private void watch(int machine, HttpExchange x, String prefix, long after, long waitMillis)
      throws IOException, InterruptedException {
    List<Object> list = new ArrayList<>();
    long end = System.nanoTime() + waitMillis * 1_000_000;
    long at;
    synchronized (this) {
      while (true) {
        for (int i = events.size() - 1; i >= 0 && events.get(i).revision() > after; i--) {
          Event e = events.get(i);
          if (e.key().startsWith(prefix)) {
            list.add(
                0,
                e.item() != null
                    ? e.item().json()
                    : Json.of("key", e.key(), "revision", e.revision(), "deleted", true));
          }
        }
        long left = (end - System.nanoTime()) / 1_000_000;
        if (!list.isEmpty() || left <= 0 || turnsAway(machine)) {
          break;
        }
        wait(left);
      }
      at = revision;
    }
    if (turnsAway(machine)) {
      Http.answer(x, 429, Map.of());
    } else {
      Http.answer(x, 200, Json.of("events", list, "at-rev", at));
    }
  }

  @SuppressWarnings("unchecked")
  private void commit(int machine, HttpExchange x, Map<String, Object> t) throws IOException {
    List<Object> current = new ArrayList<>();
    int status = 200;
    long at;
    synchronized (this) {
      List<Object> conditions = Json.list(t, "expected-rev");
      for (Object o : conditions) {
        Map<String, Object> c = (Map<String, Object>) o;
        Item i = items.get(Json.string(c, "key"));
        if (i != null) {
          current.add(i.json());
        }
        if ((i == null ? 0 : i.revision()) != Json.number(c, "revision")) {
          status = 412;
        }
      }
      List<Object> writes = Json.list(t, "writes");
      for (Object o : writes) {
        long lease = Json.number((Map<String, Object>) o, "lease");
        if (status == 200 && lease != 0 && !leases.containsKey(lease)) {
          status = 404;
        }
      }
      if (status == 200) {
        revision++;
        for (Object o : writes) {
          Map<String, Object> w = (Map<String, Object>) o;
          write(Json.string(w, "key"), Json.string(w, "value"), Json.number(w, "lease"));
        }
        Json.list(t, "deletes").forEach(k -> remove((String) k));
        if (!conditions.isEmpty()) {
          lastConditionalWriter = machine;
        }
        notifyAll();
      }
      at = revision;
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    if (status == 412) {
      answer.put("items", current);
    } else if (status == 200) {
      answer.put("revision", at);
    }
    Http.answer(x, status, answer);
  }

  private void grantLease(HttpExchange x, long ttlMillis) throws IOException {
    long id;
    long ttl = Math.max(1_000, ttlMillis);
    synchronized (this) {
      id = nextLease++;
      Lease l = new Lease(ttl);
      l.renew();
      leases.put(id, l);
    }
    Http.answer(x, 200, Json.of("lease", id, "ttl-ms", ttl));
  }

  private void keepLease(HttpExchange x, long id) throws IOException {
    boolean found;
    synchronized (this) {
      Lease l = leases.get(id);
      found = l != null;
      if (found) {
        l.renew();
      }
    }
    Http.answer(x, found ? 200 : 404, Map.of());
  }
}
