package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A task that lasts and fills runs on a runner that is lost for good. Exits with 1 if it does not
 * run again on the runners that are left, though they have room for it (rule LOST).
 */
public final class LostFiller {

  private static final int RUNNERS = 8;
  private static final long RUNNER_CPU = 64_000;
  private static final Jobs.Size SERVING = new Jobs.Size(30_000, 1_000);
  private static final Jobs.Size FILLING = new Jobs.Size(40_000, 1_000);
  private static final String SERVING_ID = "5c0e7a21d94b36f1";
  private static final String FILLING_ID = "5c0e7a21d94b36f2";

  /** The rule holds from this time after the task's last run. */
  private static final long GRACE_MILLIS = 6_000;

  private static final long IDLE_MILLIS = 3_000;
  private static final long WATCH_MILLIS = 20_000;

  private final Record record;
  private final Jobs jobs = new Jobs();
  private final Map<String, Runner> runners = new TreeMap<>();
  private final Map<String, String> runnerOf = new ConcurrentHashMap<>();

  private LostFiller(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Record record = new Record(Path.of(args[1]));
    int code = 2;
    try {
      code = new LostFiller(record).run(Path.of(args[0]));
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
    store.put("op/config", Cell.configuration(3, 0));
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
      boolean ready =
          handIn(c, SERVING_ID, RUNNERS - 1, SERVING, false) && handIn(c, FILLING_ID, 1, FILLING, true);
      Thread.sleep(3_000);
      String task = FILLING_ID + ".0.0.0";
      if (!ready || !runnerOf.containsKey(task) || runnerOf.size() < RUNNERS) {
        record.line("script", "not all tasks run");
        return 2;
      }
      if (trouble) {
        Runner lost = runners.remove(runnerOf.get(task));
        lost.crash();
        store.remove("servers/" + lost.life.id(), 3 * Runner.HEARTBEAT_MILLIS);
      }
      long lastRun = Http.now();
      boolean runs = !trouble;
      boolean late = false;
      while (Http.now() - lastRun < WATCH_MILLIS && (!runs || !trouble)) {
        Thread.sleep(50);
        runs = runners.values().stream().anyMatch(r -> r.runs(task));
        late |= !runs && Http.now() - lastRun > GRACE_MILLIS + IDLE_MILLIS;
      }
      for (Runner r : runners.values()) {
        record.line(r.life.id(), "cpu in use by tasks that don't fill " + r.cpuInUse());
      }
      Cell.Answer a = c.call(0, "GET", "/jobs/" + FILLING_ID, null).get();
      record.line("client", "GET " + FILLING_ID + " -> " + a.status() + " " + a.body());
      if (late) {
        record.broken(
            "LOST: " + task + (runs ? " did not run for " : " has not run for ")
                + (Http.now() - lastRun) + " ms, with room");
      }
      return record.brokenCount() > 0 ? 1 : 0;
    }
  }

  private boolean handIn(Cell c, String id, int count, Jobs.Size size, boolean fills)
      throws Exception {
    jobs.add(id, size);
    ObjectNode n = Http.object().put("spec", "ms=600000;");
    ObjectNode s = n.putArray("steps").addObject().put("count", count).put("cpu", size.cpu());
    s.put("mem-mb", size.memMb()).put("long-running", true);
    if (fills) {
      s.put("fills", true);
    } else {
      s.put("max-per-server", 1);
    }
    Cell.Answer a = c.call(0, "POST", "/jobs/" + id, n.toString()).get();
    record.line("client", "POST " + id + (fills ? ", fills" : "") + " -> " + a.status());
    Thread.sleep(1_000);
    return a.status() == 200;
  }
}
