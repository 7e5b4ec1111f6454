import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: the store, runners, three processes of the project and their clients. */
final class Cell {

  static final String KEY = "key-1";
  private static final int NODES = 3;

  final Store store;
  final List<Runner> runners = new ArrayList<>();
  final List<Node> nodes = new ArrayList<>();
  final Client client;
  private final Path folder;

  /** Starts everything; fails unless each node is ready within 30 s. */
  Cell(int runnerCount, long cpu, long memoryMb, int priority)
      throws IOException, InterruptedException {
    folder = Files.createTempDirectory("review");
    store = new Store();
    store.put("op/config", configuration(7, priority));
    for (int i = 0; i < runnerCount; i++) {
      runners.add(
          new Runner(store, "w" + i, cpu, memoryMb, "nw-" + (char) ('a' + i % 3), "r1-" + i % 3));
    }
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node(folder, "edge-" + i, i, store.http.address()));
    }
    for (Node n : nodes) {
      n.start();
    }
    client = new Client(nodes, KEY);
    if (!client.awaitReady()) {
      close();
      throw new IOException("the nodes did not become ready");
    }
    Log.say("all nodes are ready");
  }

  /** Returns a configuration with one queue without advice and one tenant without limits. */
  static String configuration(long version, int priority) {
    ObjectNode n = Http.object().put("version", version);
    ObjectNode q = n.putArray("routes").addObject();
    q.put("name", "q1").put("host", "127.0.0.1").put("prefix", "/jobs/");
    q.put("kind", "non_idempotent").put("timeout-ms", 3_000).put("target-duration-ms", 1_000);
    q.put("priority", priority).put("service", "svc").put("max-attempts", 3).put("slack-factor", 2.0);
    q.put("public", false);
    n.putArray("services").addObject().put("name", "svc").put("admission-check", false);
    n.putObject("limits");
    ObjectNode t = n.putArray("tenants").addObject().put("name", "t1").put("weight", 500.0);
    t.putArray("api-keys").add(KEY);
    t.putObject("ceiling").put("cpu", 0).put("mem-mb", 0).put("gpu", 0);
    return n.toString();
  }

  /**
   * Returns the body of a job; each step has {@code count} tasks and follows the one before.
   *
   * @param millis run time of a task; -1 if the tasks last until the job is cancelled
   * @param specBytes size of the payload, which is filled up to it
   */
  static String job(int steps, int count, int cpu, int memoryMb, long millis, int specBytes) {
    String spec = millis + " " + cpu + " " + memoryMb + " ";
    ObjectNode n = Http.object().put("spec", spec + "x".repeat(specBytes - spec.length()));
    ArrayNode list = n.putArray("steps");
    for (int i = 0; i < steps; i++) {
      ObjectNode s = list.addObject().put("count", count).put("cpu", cpu).put("mem-mb", memoryMb);
      if (millis >= 0) {
        s.put("estimate-ms", millis);
      } else {
        s.put("long-running", true);
      }
      if (i > 0) {
        s.putArray("after").add(i - 1);
      }
    }
    return n.toString();
  }

  /** Returns the node that wrote the owner's key in the store. */
  Node owner() throws IOException {
    String value = store.ownerValue("dandelionport/owner");
    return nodes.stream()
        .filter(n -> value.contains(n.name() + "-"))
        .findFirst()
        .orElseThrow(() -> new IOException("no node owns the workflows"));
  }

  /** Returns the last run of a task; null if it never ran. */
  static Runner.Run lastRun(String task) {
    Runner.Run last = null;
    synchronized (Runner.ALL) {
      for (Runner.Run r : Runner.ALL) {
        last = r.task.equals(task) ? r : last;
      }
    }
    return last;
  }

  int running() {
    return runners.stream().mapToInt(Runner::runningCount).sum();
  }

  /** Copies what the processes wrote, to look into a run (variable LOGS). */
  void copyLogs(Path to) throws IOException {
    for (Node n : nodes) {
      Files.copy(
          n.output(),
          to.resolve(n.name() + ".log"),
          java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }
  }

  /** Ends all processes and removes the temporary folder. */
  void close() throws IOException {
    Node.killAll();
    if (System.getenv("LOGS") != null) {
      copyLogs(Path.of(System.getenv("LOGS")));
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(p);
      }
    }
  }

  /**
   * Checks the rule TWICE: no two runs of a task at the same time, and no start after a run has
   * ended done whose end was acknowledged, unless the lease lapsed between the two. Returns the
   * number of tasks that break it.
   */
  static int countTwice() {
    synchronized (Runner.ALL) {
      Map<String, List<Runner.Run>> byTask = new HashMap<>();
      Runner.ALL.forEach(r -> byTask.computeIfAbsent(r.task, k -> new ArrayList<>()).add(r));
      int broken = 0;
      for (List<Runner.Run> runs : byTask.values()) {
        String why = "";
        for (Runner.Run a : runs) {
          for (Runner.Run b : runs) {
            if (a == b || b.startedMillis < a.startedMillis) {
              continue;
            }
            boolean ended = a.endedMillis >= 0 && a.endedMillis <= b.startedMillis;
            if (!ended) {
              why = "run " + b.number + " starts while run " + a.number + " is there";
            } else if (a.how.equals("done") && a.ackedMillis >= 0 && !a.lapsedBetween) {
              why =
                  "run %d ended done at %d (acknowledged at %d), run %d started at %d"
                      .formatted(
                          a.number, a.endedMillis, a.ackedMillis, b.number, b.startedMillis);
            }
          }
        }
        if (!why.isEmpty()) {
          Log.line("TWICE " + runs.get(0).task + ": " + why);
          broken++;
        }
      }
      return broken;
    }
  }
}
