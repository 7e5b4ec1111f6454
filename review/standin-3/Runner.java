package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for a runner, by PROTOCOL.md. The {@code spec} of a job is the run time of its tasks in
 * milliseconds. It writes its entry in the store when it starts and each heartbeat interval.
 */
final class Runner {

  static final long HEARTBEAT_MILLIS = 1_500;
  private static final long MAX_LEASE_MILLIS = 6_000;
  private static final int MAX_LISTED_ENDS = 500;

  /** A run that was started, by whom, and how it ended. */
  static final class Run {
    final String task;
    final int run;
    final long token;
    final String kind;
    final long startMillis;
    final long doneMillis;
    volatile long endMillis;
    volatile String how = "";

    Run(String task, int run, long token, String kind, long startMillis, long doneMillis) {
      this.task = task;
      this.run = run;
      this.token = token;
      this.kind = kind;
      this.startMillis = startMillis;
      this.doneMillis = doneMillis;
    }
  }

  private final Recorder recorder;
  private final Store store;
  private final List<Run> allRuns;
  final String id;
  private final String zone;
  private final String rack;
  private int port;
  private HttpServer server;
  private volatile boolean up;

  private String kind;
  private long born;
  private long clockOffset;
  private long seq;
  private long token;
  private long leaseEnd;
  private long lastEnd;
  private final Map<String, Run> active = new LinkedHashMap<>();
  private final Map<String, Integer> closed = new HashMap<>();
  private final List<List<Object>> ends = new ArrayList<>();

  Runner(Recorder recorder, Store store, List<Run> allRuns, String id, String zone, String rack) {
    this.recorder = recorder;
    this.store = store;
    this.allRuns = allRuns;
    this.id = id;
    this.zone = zone;
    this.rack = rack;
    Thread t = new Thread(this::tick);
    t.setDaemon(true);
    t.start();
  }

  /**
   * Starts a life of the runner, at the address of its former one.
   *
   * @param newKind its first label
   * @param registersAfterMillis time from the start of its server to its first write to the store
   */
  void start(String newKind, long registersAfterMillis) throws IOException, InterruptedException {
    synchronized (this) {
      kind = newKind;
      born = System.currentTimeMillis();
      clockOffset = recorder.now() - 1_000;
      seq = 0;
      token = 0;
      leaseEnd = 0;
      lastEnd = 0;
      active.clear();
      closed.clear();
      ends.clear();
    }
    server = Http.serve(port, this::handle);
    port = server.getAddress().getPort();
    recorder.line("runner " + id + " starts, kind " + newKind + ", born " + born);
    Thread.sleep(registersAfterMillis);
    up = true;
    register();
    recorder.line("runner " + id + " has written its entry, kind " + newKind);
  }

  synchronized String kind() {
    return kind;
  }

  /** Kills the runner: all its runs end, and its connections are reset. */
  void kill() {
    up = false;
    server.stop(0);
    synchronized (this) {
      long now = recorder.now();
      active
          .values()
          .forEach(
              r -> {
                r.endMillis = now;
                r.how = "crashed";
              });
      active.clear();
      notifyAll();
    }
    recorder.line("runner " + id + " is killed");
  }

  private void register() {
    Map<String, Object> entry;
    synchronized (this) {
      entry =
          Json.of(
              "service", "svc",
              "address", "127.0.0.1:" + port,
              "zone", zone,
              "version", "v1",
              "slots", 8,
              "state", "ready",
              "cold-remaining-ms", 0,
              "capacity", Json.of("cpu", 16_000, "mem-mb", 32_768, "gpu", 0),
              "labels", List.of(kind, rack),
              "born", born,
              "clock-ms", clock(),
              "seq", ++seq);
    }
    store.put("servers/" + id, entry);
  }

  private void tick() {
    try {
      long nextBeat = recorder.now() + HEARTBEAT_MILLIS;
      while (true) {
        Thread.sleep(5);
        synchronized (this) {
          endDueRuns();
        }
        if (recorder.now() >= nextBeat) {
          nextBeat = recorder.now() + HEARTBEAT_MILLIS;
          if (up) {
            register();
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private long clock() {
    return recorder.now() - clockOffset;
  }

  private void endDueRuns() {
    long now = recorder.now();
    for (Run r : List.copyOf(active.values())) {
      if (r.doneMillis <= now && r.doneMillis <= leaseEnd + clockOffset) {
        end(r, "done");
      } else if (clock() >= leaseEnd) {
        end(r, "lapsed");
      }
    }
  }

  private void end(Run r, String how) {
    active.remove(r.task);
    closed.merge(r.task, r.run, Math::max);
    r.endMillis = recorder.now();
    r.how = how;
    ends.add(List.of(++lastEnd, r.task, r.run, how, ""));
    recorder.line("runner " + id + " ends " + r.task + " run " + r.run + ": " + how);
    notifyAll();
  }

  private void handle(HttpExchange x) throws IOException {
    String body = Http.body(x);
    Map<String, Object> call = Json.object(body);
    int status = 200;
    Map<String, Object> answer = new LinkedHashMap<>();
    synchronized (this) {
      endDueRuns();
      String expected = x.getRequestHeaders().getFirst("Dandelionport-Expected-Instance");
      if (expected != null && !expected.equals(id)) {
        status = 421;
      } else if (Json.number(call, "fencing-token") < token) {
        status = 409;
        answer.put("reason", "fence");
      } else {
        token = Json.number(call, "fencing-token");
        String path = x.getRequestURI().getPath();
        if (path.equals("/run-start")) {
          String reason = startRun(call);
          status = reason.isEmpty() ? 200 : 409;
          if (!reason.isEmpty()) {
            answer.put("reason", reason);
          }
        } else if (path.equals("/run-stop")) {
          stopRun(Json.string(call, "task"), (int) Json.number(call, "run-id"));
        } else if (path.equals("/hold")) {
          hold(call, answer);
        } else {
          status = 404;
        }
      }
      answer.put("born", born);
      answer.put("clock-ms", clock());
    }
    Http.answer(x, status, answer);
  }

  private void extend(Map<String, Object> call) {
    if (call.containsKey("until-ms")) {
      long until = Math.min(Json.number(call, "until-ms"), clock() + MAX_LEASE_MILLIS);
      leaseEnd = Math.max(leaseEnd, until);
    }
  }

  private String startRun(Map<String, Object> call) {
    extend(call);
    String task = Json.string(call, "task");
    int number = (int) Json.number(call, "run-id");
    Run before = active.get(task);
    if (before != null && before.run == number) {
      return "";
    }
    if (before != null || number <= closed.getOrDefault(task, 0)) {
      return "old";
    }
    if (Json.number(call, "until-ms") <= clock()) {
      return "late";
    }
    long now = recorder.now();
    long runMillis = Long.parseLong(Json.string(call, "spec"));
    Run r = new Run(task, number, token, kind, now, now + runMillis);
    active.put(task, r);
    allRuns.add(r);
    recorder.line(
        "runner " + id + " kind " + kind + " starts " + task + " run " + number + " token " + token);
    return "";
  }

  private void stopRun(String task, int number) {
    closed.merge(task, number, Math::max);
    Run r = active.get(task);
    if (r != null && r.run <= number) {
      end(r, "stopped");
    }
  }

  private void hold(Map<String, Object> call, Map<String, Object> answer) {
    extend(call);
    long acked = Json.number(call, "acked-through");
    ends.removeIf(e -> (Long) e.get(0) <= acked);
    long waitUntil = recorder.now() + Math.min(2_000, Json.number(call, "wait-ms"));
    long life = born;
    long endsBefore = lastEnd;
    try {
      while (recorder.now() < waitUntil && lastEnd == endsBefore && life == born) {
        wait(Math.max(1, waitUntil - recorder.now()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    List<Object> running = new ArrayList<>();
    active.values().forEach(r -> running.add(List.of(r.task, r.run, "", 100, 0)));
    answer.put("running", running);
    answer.put("finished", ends.subList(0, Math.min(MAX_LISTED_ENDS, ends.size())));
  }
}
