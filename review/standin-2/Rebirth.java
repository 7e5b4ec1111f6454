package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A runner crashes and starts again under its id and address, as another kind with half of the
 * capacity. Exits with 1 if a start brings its new life over its capacity (rule LIMIT) or a task
 * starts there without the label that its step requires (rule ROUTE).
 */
public final class Rebirth {

  private static final int RUNNERS = 8;
  private static final int TASKS_PER_RUNNER = 4;
  private static final long DOWN_MILLIS = 500;

  /** When the new life writes its first entry; a runner writes one about every heartbeat. */
  private static final long FIRST_ENTRY_MILLIS = 1_000;

  private static final Jobs.Size TASK = new Jobs.Size(16_000, 1_000);

  private final Record record;
  private final Jobs jobs = new Jobs();
  private final Map<String, Runner> lives = new ConcurrentHashMap<>();
  private final Set<String> needsKindA = new HashSet<>();

  private Rebirth(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Record record = new Record(Path.of(args[1]));
    int code = 2;
    try {
      code = new Rebirth(record).run(Path.of(args[0]));
    } catch (Exception e) {
      record.line("script", "could not run: " + e);
    }
    record.line("script", "exit " + code);
    System.out.println("exit " + code + ", rule broken " + record.brokenCount() + " times");
    Runtime.getRuntime().halt(code);
  }

  private void started(Runner.Started s) {
    Runner r;
    synchronized (lives) {
      r = lives.get(s.runner());
    }
    long inUse = r.cpuInUse();
    record.line(
        s.runner(),
        "starts " + s.task() + " run " + s.run() + ", born " + s.born() + ", cpu in use " + inUse
            + " of " + r.life.cpu());
    if (inUse > r.life.cpu()) {
      record.broken("LIMIT: " + s.runner() + " runs " + inUse + " of its " + r.life.cpu());
    }
    String id = s.task().substring(0, s.task().indexOf('.'));
    if (needsKindA.contains(id) && !r.life.kind().equals("a")) {
      record.broken("ROUTE: " + s.task() + " requires a, " + s.runner() + " is " + r.life.kind());
    }
  }

  private int run(Path repo) throws Exception {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Store store = new Store(record);
    store.put("op/config", Cell.configuration(3, 0));
    List<Runner> first = new ArrayList<>();
    for (int i = 1; i <= RUNNERS; i++) {
      Runner.Life life = new Runner.Life("runner-" + i, "a", 64_000, 131_072, 0, 1);
      Runner r = new Runner(life, 0, store, record, jobs, this::started);
      lives.put(life.id(), r);
      first.add(r);
    }
    try (Cell c = new Cell(repo)) {
      for (int i = 1; i <= 3; i++) {
        c.start("edge-" + i, "z-" + i, store.http.port());
      }
      if (!c.awaitServing(30_000)) {
        record.line("script", "the instances do not serve");
        return 2;
      }
      // The tasks fill all runners.
      for (int i = 0; i < RUNNERS * TASKS_PER_RUNNER; i++) {
        String id = String.format("%016x", 0x5c0e7a21d94b3600L + i);
        boolean needs = i % 2 == 0;
        if (needs) {
          needsKindA.add(id);
        }
        jobs.add(id, TASK);
        ObjectNode n = Http.object().put("spec", "ms=25000;");
        ObjectNode s = n.putArray("steps").addObject().put("count", 1);
        s.put("cpu", TASK.cpu()).put("mem-mb", TASK.memMb()).put("estimate-ms", 25_000);
        if (needs) {
          s.put("required-label", "a");
        }
        Cell.Answer a = c.call(i % 3, "POST", "/jobs/" + id, n.toString()).get();
        record.line("client", "POST " + id + (needs ? ", requires a" : "") + " -> " + a.status());
        if (a.status() != 200) {
          return 2;
        }
      }
      Thread.sleep(3_000);
      Runner old = first.get(0);
      long inUse = first.stream().mapToLong(Runner::cpuInUse).sum();
      if (inUse != RUNNERS * TASKS_PER_RUNNER * TASK.cpu()) {
        record.line("script", "not all tasks run");
        return 2;
      }
      if (trouble) {
        int port = old.port();
        old.crash();
        Thread.sleep(DOWN_MILLIS);
        Runner.Life life = new Runner.Life(old.life.id(), "b", 32_000, 131_072, port, 1);
        // The new life must be known before its first call arrives.
        synchronized (lives) {
          lives.put(
              life.id(),
              new Runner(life, FIRST_ENTRY_MILLIS, store, record, jobs, this::started));
        }
      }
      Thread.sleep(6_000);
      return record.brokenCount() > 0 ? 1 : 0;
    }
  }
}
