package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runners whose steady clocks are 2 % slow have had no work for a while. One gets a task and is cut
 * off just after, while it runs on. Exits with 1 if the task runs on two runners at the same time
 * (rule TWICE).
 */
public final class SlowClock {

  private static final int RUNNERS = 8;
  private static final double CLOCK_RATE = 0.98;
  private static final long IDLE_MILLIS = 50_000;
  private static final long CUT_AFTER_MILLIS = 300;
  private static final long CUT_MILLIS = 5_500;
  private static final Jobs.Size TASK = new Jobs.Size(16_000, 1_000);
  private static final String ID = "5c0e7a21d94b36f8";

  private final Record record;
  private final Jobs jobs = new Jobs();
  private final Map<String, Runner> runners = new ConcurrentHashMap<>();
  private final Map<String, Relay> relays = new ConcurrentHashMap<>();
  private volatile Runner.Started first;

  private SlowClock(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Record record = new Record(Path.of(args[1]));
    int code = 2;
    try {
      code = new SlowClock(record).run(Path.of(args[0]));
    } catch (Exception e) {
      record.line("script", "could not run: " + e);
    }
    record.line("script", "exit " + code);
    System.out.println("exit " + code + ", rule broken " + record.brokenCount() + " times");
    Runtime.getRuntime().halt(code);
  }

  private void started(Runner.Started s) {
    record.line(s.runner(), "starts " + s.task() + " run " + s.run());
    if (first == null) {
      first = s;
      return;
    }
    // The other runner must not be asked under this one's lock.
    Thread t = new Thread(() -> compare(s));
    t.start();
  }

  private void compare(Runner.Started s) {
    for (Runner r : runners.values()) {
      if (!r.life.id().equals(s.runner()) && r.runs(s.task())) {
        record.broken(
            "TWICE: " + s.task() + " runs on " + s.runner() + " and still on " + r.life.id());
      }
    }
  }

  private int run(Path repo) throws Exception {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Store store = new Store(record);
    store.put("op/config", Cell.configuration(3, 0));
    for (int i = 1; i <= RUNNERS; i++) {
      String id = "runner-" + i;
      Runner.Life life = new Runner.Life(id, "a", 64_000, 131_072, 0, CLOCK_RATE);
      Runner r = new Runner(life, 200, store, record, jobs, this::started);
      Relay relay = new Relay(r.port());
      r.setEntryPort(relay.port());
      runners.put(id, r);
      relays.put(id, relay);
    }
    try (Cell c = new Cell(repo)) {
      for (int i = 1; i <= 3; i++) {
        c.start("edge-" + i, "z-" + i, store.http.port());
      }
      if (!c.awaitServing(30_000)) {
        record.line("script", "the instances do not serve");
        return 2;
      }
      record.line("script", "the instances serve; no work for " + IDLE_MILLIS + " ms");
      Thread.sleep(IDLE_MILLIS);
      jobs.add(ID, TASK);
      ObjectNode n = Http.object().put("spec", "ms=9000;");
      n.putArray("steps").addObject().put("count", 1).put("cpu", TASK.cpu())
          .put("mem-mb", TASK.memMb()).put("estimate-ms", 9_000);
      Cell.Answer a = c.call(0, "POST", "/jobs/" + ID, n.toString()).get();
      record.line("client", "POST " + ID + " -> " + a.status());
      long deadline = Http.now() + 3_000;
      while (first == null && Http.now() < deadline) {
        Thread.sleep(5);
      }
      if (a.status() != 200 || first == null) {
        return 2;
      }
      Thread.sleep(CUT_AFTER_MILLIS);
      Relay relay = relays.get(first.runner());
      if (trouble) {
        relay.cutAnswers();
        record.line("network", first.runner() + " is cut off, its answers are lost");
      }
      Thread.sleep(CUT_MILLIS);
      if (trouble) {
        relay.heal();
        record.line("network", first.runner() + " is reachable again");
      }
      Thread.sleep(2_000);
      return record.brokenCount() > 0 ? 1 : 0;
    }
  }
}
