package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One of two tasks that last runs on a runner that is lost for good, while urgent jobs come
 * steadily. Exits with 1 if it does not run again on the runners that are left, most of which are
 * empty (rule LOST).
 */
public final class LostLasting {

  private static final int RUNNERS = 8;
  private static final long RUNNER_CPU = 64_000;
  private static final Jobs.Size LASTING = new Jobs.Size(59_000, 1_000);
  private static final Jobs.Size URGENT = new Jobs.Size(8_000, 1_000);
  private static final String ID = "5c0e7a21d94b36f1";

  /** The rule holds from this time after the task's last run. */
  private static final long GRACE_MILLIS = 6_000;

  private static final long IDLE_MILLIS = 3_000;
  private static final long WATCH_MILLIS = 20_000;

  private final Record record;
  private final Jobs jobs = new Jobs();
  private final Map<String, Runner> runners = new TreeMap<>();
  private final Map<String, String> runnerOf = new ConcurrentHashMap<>();
  private int urgentJobs;

  private LostLasting(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Record record = new Record(Path.of(args[1]));
    int code = 2;
    try {
      code = new LostLasting(record).run(Path.of(args[0]));
    } catch (Exception e) {
      record.line("script", "could not run: " + e);
    }
    record.line("script", "exit " + code);
    System.out.println("exit " + code + ", rule broken " + record.brokenCount() + " times");
    Runtime.getRuntime().halt(code);
  }

  private void started(Runner.Started s) {
    record.line(s.runner(), "starts " + s.task() + " run " + s.run());
    runnerOf.put(s.task(), s.runner());
  }

  private int run(Path repo) throws Exception {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Store store = new Store(record);
    store.put("op/config", Cell.configurationWithUrgent());
    for (int i = 1; i <= RUNNERS; i++) {
      Runner.Life life = new Runner.Life("runner-" + i, "a", RUNNER_CPU, 131_072, 0, 1);
      runners.put(life.id(), new Runner(life, 0, store, record, jobs, this::started));
    }
    try (Cell c = new Cell(repo)) {
      for (int i = 1; i <= 3; i++) {
        c.start("edge-" + i, "z-" + i, store.http.port());
      }
      if (!c.awaitServing(30_000)) {
        record.line("script", "the instances do not serve");
        return 2;
      }
      jobs.add(ID, LASTING);
      ObjectNode n = Http.object().put("spec", "ms=600000;");
      ObjectNode s = n.putArray("steps").addObject().put("count", 2).put("cpu", LASTING.cpu());
      s.put("mem-mb", LASTING.memMb()).put("long-running", true);
      Cell.Answer a = c.call(0, "POST", "/jobs/" + ID, n.toString()).get();
      record.line("client", "POST " + ID + " -> " + a.status());
      Thread.sleep(3_000);
      String task = ID + ".0.0.1";
      if (a.status() != 200 || runnerOf.size() < 2) {
        record.line("script", "not all tasks run");
        return 2;
      }
      for (int i = 0; i < 32; i++) {
        urgent(c);
      }
      if (trouble) {
        Runner lost = runners.remove(runnerOf.get(task));
        lost.crash();
        store.remove("servers/" + lost.life.id(), 3 * Runner.HEARTBEAT_MILLIS);
      }
      long start = Http.now();
      boolean runs = !trouble;
      boolean late = false;
      while (Http.now() - start < WATCH_MILLIS && (!runs || !trouble)) {
        urgent(c);
        runs = runners.values().stream().anyMatch(r -> r.runs(task));
        late |= !runs && Http.now() - start > GRACE_MILLIS + IDLE_MILLIS;
      }
      for (Runner r : runners.values()) {
        record.line(r.life.id(), "cpu in use " + r.cpuInUse() + " of " + RUNNER_CPU);
      }
      if (late) {
        record.broken(
            "LOST: " + task + (runs ? " did not run for " : " has not run for ")
                + (Http.now() - start) + " ms, with room");
      }
      return record.brokenCount() > 0 ? 1 : 0;
    }
  }

  /** Hands in one urgent job; called eight times a second. */
  private void urgent(Cell c) throws Exception {
    String id = String.format("%016x", 0x77770000L + urgentJobs++);
    jobs.add(id, URGENT);
    ObjectNode n = Http.object().put("spec", "ms=500;");
    n.putArray("steps").addObject().put("count", 1).put("cpu", URGENT.cpu())
        .put("mem-mb", URGENT.memMb()).put("estimate-ms", 500);
    c.call(urgentJobs % 3, "POST", "/urgent/" + id, n.toString());
    Thread.sleep(125);
  }
}
