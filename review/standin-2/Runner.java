package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One life of a runner, as PROTOCOL.md describes it. The spec of a job begins with {@code ms=N;},
 * the time that each of its tasks works. It does not guard its capacity.
 */
final class Runner {

  static final long HEARTBEAT_MILLIS = 1_500;
  private static final long HOLD_MAX_MILLIS = 6_000;

  /**
   * What a life is like.
   *
   * @param port port to listen on, 0 for a free one
   * @param clockRate rate of its steady clock, which may be 2 % slow
   */
  record Life(String id, String kind, long cpu, long memMb, int port, double clockRate) {}

  record Started(String runner, long born, String task, int run) {}

  private record Run(String task, int run, long ends, long cpu, long memMb) {}

  private record End(long number, String task, int run, String how) {}

  final Life life;
  final long born = System.currentTimeMillis();
  private final long bornSteady = Http.now();
  private final Store store;
  private final Record record;
  private final Jobs jobs;
  private final Consumer<Started> onStart;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> closed = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long lastEnd;
  private long token;
  private long leaseEnd;
  private long seq;
  private volatile boolean stopped;
  private final Http http;

  /** The port that its entry names. */
  private volatile int entryPort;

  /** Starts a life whose first entry in the store is written after {@code entryDelayMillis}. */
  Runner(
      Life life,
      long entryDelayMillis,
      Store store,
      Record record,
      Jobs jobs,
      Consumer<Started> onStart)
      throws Exception {
    this.life = life;
    this.store = store;
    this.record = record;
    this.jobs = jobs;
    this.onStart = onStart;
    this.http = new Http(life.port(), this::handle);
    this.entryPort = http.port();
    Thread t = new Thread(() -> work(entryDelayMillis));
    t.setDaemon(true);
    t.start();
    record.line(life.id(), "starts, born " + born + ", kind " + life.kind() + ", cpu " + life.cpu());
  }

  int port() {
    return http.port();
  }

  /** Names the port of a relay in the entries from now on. */
  void setEntryPort(int port) {
    entryPort = port;
  }

  /** Returns whether a run of a task is at work here. */
  synchronized boolean runs(String task) {
    endDue();
    return running.containsKey(task);
  }

  /** Ends the life as a crash does: all that runs is gone, the connections break. */
  void crash() {
    stopped = true;
    http.close();
    synchronized (this) {
      record.line(life.id(), "crashes, born " + born + ", with " + running.size() + " runs");
      running.clear();
      notifyAll();
    }
  }

  private void work(long entryDelayMillis) {
    long next = Http.now() + entryDelayMillis;
    while (!stopped) {
      if (Http.now() >= next) {
        next = Http.now() + HEARTBEAT_MILLIS;
        store.put("servers/" + life.id(), entry());
      }
      synchronized (this) {
        endDue();
      }
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private String entry() {
    ObjectNode n = Http.object().put("service", "svc").put("address", "127.0.0.1:" + entryPort);
    n.put("zone", "z-1").put("version", "v1").put("slots", 8).put("state", "ready");
    n.put("cold-remaining-ms", 0).put("born", born).put("seq", ++seq);
    n.putObject("capacity").put("cpu", life.cpu()).put("mem-mb", life.memMb()).put("gpu", 0);
    n.putArray("labels").add(life.kind()).add("r1-1");
    n.put("clock-ms", clock());
    return n.toString();
  }

  private long clock() {
    return (long) (life.clockRate() * (Http.now() - bornSteady));
  }

  private void endDue() {
    long now = Http.now();
    for (Run r : List.copyOf(running.values())) {
      if (r.ends() <= now) {
        end(r, "done");
      } else if (clock() >= leaseEnd) {
        end(r, "lapsed");
      }
    }
  }

  private void end(Run r, String how) {
    running.remove(r.task());
    closed.merge(r.task(), r.run(), Math::max);
    ends.add(new End(++lastEnd, r.task(), r.run(), how));
    jobs.ended(r.task(), how);
    notifyAll();
  }

  private Http.Reply handle(HttpExchange x, JsonNode b) throws Exception {
    if (stopped) {
      return null;
    }
    String expected = x.getRequestHeaders().getFirst("Dandelionport-Expected-Instance");
    if (expected != null && !expected.equals(life.id())) {
      return Http.reply(421, Http.object());
    }
    String path = x.getRequestURI().getPath();
    synchronized (this) {
      endDue();
      long t = b.path("fencing-token").asLong();
      if (t < token) {
        return refused("fence");
      }
      token = t;
      return switch (path) {
        case "/run-start" -> start(b);
        case "/run-stop" -> stop(b);
        case "/hold" -> hold(b);
        default -> Http.reply(404, Http.object());
      };
    }
  }

  private Http.Reply refused(String reason) {
    return Http.reply(409, Http.object().put("clock-ms", clock()).put("reason", reason));
  }

  private Http.Reply ok() {
    return Http.reply(200, Http.object().put("clock-ms", clock()));
  }

  private void extend(JsonNode b) {
    long until = Math.min(b.path("until-ms").asLong(), clock() + HOLD_MAX_MILLIS);
    leaseEnd = Math.max(leaseEnd, until);
  }

  private Http.Reply start(JsonNode b) {
    String task = b.path("task").asText();
    int run = b.path("run-id").asInt();
    Run r = running.get(task);
    if (r != null && r.run() == run) {
      extend(b);
      return ok();
    }
    if (r != null || run <= closed.getOrDefault(task, 0)) {
      return refused("old");
    }
    if (b.path("until-ms").asLong() <= clock()) {
      return refused("late");
    }
    extend(b);
    String spec = b.path("spec").asText();
    long millis = Long.parseLong(spec.substring(3, spec.indexOf(';')));
    Jobs.Size s = jobs.sizeOf(task);
    running.put(task, new Run(task, run, Http.now() + millis, s.cpu(), s.memMb()));
    jobs.started(task);
    onStart.accept(new Started(life.id(), born, task, run));
    return ok();
  }

  /** Returns the cpu of all that runs here. */
  synchronized long cpuInUse() {
    return running.values().stream().mapToLong(Run::cpu).sum();
  }

  private Http.Reply stop(JsonNode b) {
    String task = b.path("task").asText();
    int run = b.path("run-id").asInt();
    Run r = running.get(task);
    closed.merge(task, run, Math::max);
    if (r != null && r.run() <= run) {
      end(r, "stopped");
    }
    return ok();
  }

  private Http.Reply hold(JsonNode b) throws InterruptedException {
    if (b.has("until-ms")) {
      extend(b);
    }
    long acked = b.path("acked-through").asLong();
    ends.removeIf(e -> e.number() <= acked);
    long deadline = Http.now() + Math.min(2_000, b.path("wait-ms").asLong());
    while (ends.isEmpty() && Http.now() < deadline && !stopped) {
      wait(Math.max(1, deadline - Http.now()));
    }
    if (stopped) {
      return null;
    }
    ObjectNode n = Http.object().put("clock-ms", clock()).put("born", born);
    ArrayNode rows = n.putArray("running");
    for (Run r : running.values()) {
      rows.addArray().add(r.task()).add(r.run()).add("").add(100).add(r.cpu());
    }
    ArrayNode list = n.putArray("finished");
    for (End e : ends.subList(0, Math.min(500, ends.size()))) {
      list.addArray().add(e.number()).add(e.task()).add(e.run()).add(e.how()).add("");
    }
    return Http.reply(200, n);
  }
}
