import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of one life of a runner. The payload of a task starts with its run time in milliseconds
 * (-1: it lasts), its cpu and its memory, each followed by a blank.
 */
final class Runner {

  static final long HOLD_MAX_MILLIS = 6_000;

  /** Time of three heartbeats, after which the entry of a silent runner is removed. */
  static final long LAPSE_MILLIS = 4_500;

  /** Ends that one answer lists at most. */
  static final int ENDS_PER_ANSWER = 500;

  /** One start of a task and its end, as the runner has seen them. */
  static final class Run {
    final Runner runner;
    final String task;
    final int number;
    final long startedMillis;
    final long workMillis;
    final long cpu;
    final long memoryMb;
    long endedMillis = -1;
    String how = "";
    long endNumber;

    /** When the end was acknowledged; -1 if it was not. */
    long ackedMillis = -1;

    /** Whether the runner's lease lapsed between the end and its acknowledgement. */
    boolean lapsedBetween;

    Run(
        Runner runner,
        String task,
        int number,
        long startedMillis,
        long workMillis,
        long cpu,
        long memoryMb) {
      this.runner = runner;
      this.task = task;
      this.number = number;
      this.startedMillis = startedMillis;
      this.workMillis = workMillis;
      this.cpu = cpu;
      this.memoryMb = memoryMb;
    }
  }

  /** All runs of all runners, in the order of their start. */
  static final List<Run> ALL = new ArrayList<>();

  final String id;
  final long cpu;
  private final long memoryMb;
  private final String zone;
  private final String rack;
  private final long born = System.currentTimeMillis();
  private final long bornMillis = Log.now();
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestClosed = new HashMap<>();
  private final List<Run> unacked = new ArrayList<>();
  private final Store store;
  final Http http;
  private long highestToken;
  private long untilMillis;
  private long endCount;
  private long seq;
  private boolean crashed;

  Runner(Store store, String id, long cpu, long memoryMb, String zone, String rack)
      throws IOException {
    this.store = store;
    this.id = id;
    this.cpu = cpu;
    this.memoryMb = memoryMb;
    this.zone = zone;
    this.rack = rack;
    this.http = new Http(this::handle);
    Thread t = new Thread(this::work);
    t.setDaemon(true);
    t.start();
  }

  private void work() {
    try {
      for (long n = 0; !crashed; n++) {
        if (n % 300 == 0) {
          beat();
        }
        Thread.sleep(5);
        synchronized (this) {
          endDue();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void beat() {
    ObjectNode n =
        Http.object()
            .put("service", "svc")
            .put("address", http.address())
            .put("zone", zone)
            .put("version", "v1")
            .put("slots", 8)
            .put("state", "ready")
            .put("cold-remaining-ms", 0)
            .put("born", born)
            .put("seq", ++seq);
    n.putObject("capacity").put("cpu", cpu).put("mem-mb", memoryMb).put("gpu", 0);
    n.putArray("labels").add("a").add(rack);
    store.put("servers/" + id, n.toString());
  }


  private long clock() {
    return Log.now() - bornMillis;
  }

  private void endDue() {
    boolean lapsed = untilMillis <= clock();
    for (Run r : List.copyOf(running.values())) {
      if (r.workMillis >= 0 && Log.now() >= r.startedMillis + r.workMillis) {
        end(r, "done");
      } else if (lapsed) {
        end(r, "lapsed");
      }
    }
    if (lapsed) {
      unacked.forEach(r -> r.lapsedBetween = true);
    }
  }

  private void end(Run r, String how) {
    running.remove(r.task);
    highestClosed.merge(r.task, r.number, Math::max);
    synchronized (ALL) {
      r.endedMillis = Log.now();
      r.how = how;
      r.endNumber = ++endCount;
    }
    unacked.add(r);
    Log.line("runner " + id + " end " + r.endNumber + " " + r.task + " run " + r.number + " " + how);
    notifyAll();
  }

  /** Ends this life for good: connections are refused, and the entry lapses after three beats. */
  void crash() {
    losePower();
    http.stop();
  }

  /** Ends this life for good: nothing is answered, and the entry lapses after three beats. */
  synchronized void losePower() {
    crashed = true;
    for (Run r : List.copyOf(running.values())) {
      end(r, "crashed");
    }
  }

  /** Returns the cpu that its running tasks leave free; 0 after a crash. */
  synchronized long freeCpu() {
    return crashed ? 0 : cpu - running.values().stream().mapToLong(r -> r.cpu).sum();
  }

  /** Returns the memory that its running tasks leave free; 0 after a crash. */
  synchronized long freeMemoryMb() {
    return crashed ? 0 : memoryMb - running.values().stream().mapToLong(r -> r.memoryMb).sum();
  }

  synchronized int runningCount() {
    return running.size();
  }

  private Http.Answer handle(Http.Request r) throws InterruptedException {
    synchronized (this) {
      if (crashed) {
        wait();
      }
      if (!id.equals(r.headers().get("dandelionport-expected-instance"))) {
        return Http.Answer.of(421);
      }
      JsonNode b = r.body();
      long token = b.path("fencing-token").asLong();
      if (token < highestToken) {
        return refuse("fence");
      }
      highestToken = token;
      endDue();
      if (b.has("until-ms")) {
        long until = Math.min(b.path("until-ms").asLong(), clock() + HOLD_MAX_MILLIS);
        untilMillis = Math.max(untilMillis, until);
      }
      String task = b.path("task").asText();
      int number = b.path("run-id").asInt();
      switch (r.path()) {
        case "/run-start":
          return start(task, number, b);
        case "/run-stop":
          return stop(task, number);
        case "/hold":
          return hold(b);
        default:
          return Http.Answer.of(404);
      }
    }
  }

  private Http.Answer refuse(String reason) {
    return new Http.Answer(409, Http.object().put("clock-ms", clock()).put("reason", reason));
  }

  private Http.Answer start(String task, int number, JsonNode b) {
    Run present = running.get(task);
    if (present != null && present.number == number) {
      return new Http.Answer(200, Http.object().put("clock-ms", clock()));
    } else if (present != null || number <= highestClosed.getOrDefault(task, 0)) {
      return refuse("old");
    } else if (b.path("until-ms").asLong() <= clock()) {
      return refuse("late");
    }
    String[] spec = b.path("spec").asText().split(" ");
    Run r =
        new Run(
            this,
            task,
            number,
            Log.now(),
            Long.parseLong(spec[0]),
            Long.parseLong(spec[1]),
            Long.parseLong(spec[2]));
    running.put(task, r);
    synchronized (ALL) {
      ALL.add(r);
    }
    Log.line("runner " + id + " start " + task + " run " + number);
    return new Http.Answer(200, Http.object().put("clock-ms", clock()));
  }

  private Http.Answer stop(String task, int number) {
    Log.line("runner " + id + " stop " + task + " run " + number);
    highestClosed.merge(task, number, Math::max);
    Run present = running.get(task);
    if (present != null && present.number <= number) {
      end(present, "stopped");
    }
    return new Http.Answer(200, Http.object().put("clock-ms", clock()));
  }

  private Http.Answer hold(JsonNode b) throws InterruptedException {
    long acked = b.path("acked-through").asLong();
    unacked.removeIf(
        r -> {
          if (r.endNumber <= acked) {
            synchronized (ALL) {
              r.ackedMillis = Log.now();
            }
          }
          return r.endNumber <= acked;
        });
    long deadline = Log.now() + b.path("wait-ms").asLong();
    while (unacked.isEmpty() && Log.now() < deadline) {
      wait(Math.max(1, deadline - Log.now()));
    }
    ObjectNode n = Http.object().put("clock-ms", clock()).put("born", born);
    ArrayNode list = n.putArray("running");
    running
        .values()
        .forEach(r -> list.addArray().add(r.task).add(r.number).add("").add(100).add(0));
    ArrayNode ends = n.putArray("finished");
    unacked.stream()
        .limit(ENDS_PER_ANSWER)
        .forEach(
            r -> ends.addArray().add(r.endNumber).add(r.task).add(r.number).add(r.how).add(""));
    if (unacked.size() > ENDS_PER_ANSWER) {
      Log.line("runner " + id + " lists " + ENDS_PER_ANSWER + " of " + unacked.size() + " ends");
    }
    return new Http.Answer(200, n);
  }
}
