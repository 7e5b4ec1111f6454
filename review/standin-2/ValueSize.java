package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The store is down for some seconds while jobs with specs of the largest size arrive. Exits with 1
 * if an accepted job is lost after the store's return (rule LOST).
 */
public final class ValueSize {

  private static final long OUTAGE_MILLIS = 4_500;
  private static final long BURST_MILLIS = 4_000;
  private static final int USUAL_PER_S = 81;
  private static final int BURST_PER_S = 170;
  private static final int SPEC_BYTES = 4_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final int RETRIES = 4;
  private static final long RUNNER_CPU = 64_000;

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Random random = new Random(33);
  private final Record record;
  private final Jobs jobs = new Jobs();
  private final Map<String, Integer> steps = new ConcurrentHashMap<>();
  private final Map<String, Long> accepted = new ConcurrentHashMap<>();
  private final Map<Integer, Integer> answers = new ConcurrentHashMap<>();
  private final List<CompletableFuture<?>> sent = new ArrayList<>();
  private Cell cell;

  private ValueSize(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    Record record = new Record(Path.of(args[1]));
    int code = 2;
    try {
      code = new ValueSize(record).run(Path.of(args[0]));
    } catch (Exception e) {
      record.line("script", "could not run: " + e);
    }
    record.line("script", "exit " + code);
    System.out.println("exit " + code + ", rule broken " + record.brokenCount() + " times");
    Runtime.getRuntime().halt(code);
  }

  private int run(Path repo) throws Exception {
    Store store = new Store(record);
    store.put("op/config", Cell.configuration(3, 1));
    List<Runner> runners = new ArrayList<>();
    for (int i = 1; i <= 4; i++) {
      Runner.Life life = new Runner.Life("runner-" + i, "a", RUNNER_CPU, 131_072, 0, 1);
      runners.add(new Runner(life, 0, store, record, jobs, s -> {}));
    }
    try (Cell c = new Cell(repo)) {
      cell = c;
      for (int i = 1; i <= 3; i++) {
        c.start("edge-" + i, "z-" + i, store.http.port());
      }
      if (!c.awaitServing(30_000)) {
        record.line("script", "the instances do not serve");
        return 2;
      }
      record.line("script", "the instances serve");
      // Jobs of two steps, of which the second becomes due after the outage.
      for (int i = 0; i < 20; i++) {
        submit("ms=9000;", 2);
      }
      stream(2_000, USUAL_PER_S);
      if (trouble) {
        store.fail();
      }
      stream(BURST_MILLIS, BURST_PER_S);
      stream(OUTAGE_MILLIS - BURST_MILLIS, USUAL_PER_S);
      if (trouble) {
        store.recover();
      }
      stream(2_000, USUAL_PER_S);
      record.line("script", "end of the traffic, " + accepted.size() + " jobs accepted");
      Thread.sleep(FINISH_MILLIS);
      check(runners);
      return record.brokenCount() > 0 ? 1 : 0;
    }
  }

  private void stream(long millis, int perSecond) throws Exception {
    long start = Http.now();
    for (int i = 0; i * 1_000L < millis * perSecond; i++) {
      long wait = start + i * 1_000L / perSecond - Http.now();
      if (wait > 0) {
        Thread.sleep(wait);
      }
      submit("ms=200;", 1);
    }
  }

  private void submit(String spec, int stepCount) {
    String id = String.format("%016x", random.nextLong());
    jobs.add(id, new Jobs.Size(100, 16));
    steps.put(id, stepCount);
    ObjectNode n = Http.object();
    n.put("spec", spec + "x".repeat(SPEC_BYTES - spec.length()));
    var list = n.putArray("steps");
    for (int i = 0; i < stepCount; i++) {
      ObjectNode s = list.addObject().put("count", 1).put("cpu", 100).put("mem-mb", 16);
      s.put("estimate-ms", stepCount == 1 ? 200 : 9_000);
      if (i > 0) {
        s.putArray("after").add(i - 1);
      }
    }
    sent.add(attempt(id, n.toString(), 0, random.nextInt(3)));
  }

  /** Sends a job; without an answer it is sent again, at another instance. */
  private CompletableFuture<?> attempt(String id, String body, int tries, int instance) {
    return cell.call(instance, "POST", "/jobs/" + id, body)
        .thenCompose(
            a -> {
              answers.merge(a.status(), 1, Integer::sum);
              if (a.status() == 200) {
                accepted.put(id, Http.now());
                record.line("client", "POST " + id + " -> 200, try " + (tries + 1));
              } else if (tries < RETRIES) {
                // A refused client comes back after a second, as Retry-After says.
                long delay = a.status() == 503 || a.status() == 429 ? 1_000 : 100;
                return CompletableFuture.supplyAsync(
                        () -> 0,
                        CompletableFuture.delayedExecutor(delay, TimeUnit.MILLISECONDS))
                    .thenCompose(x -> attempt(id, body, tries + 1, (instance + 1) % 3))
                    .thenApply(x -> (Object) x);
              } else {
                record.line("client", "POST " + id + " -> " + a.status() + ", given up");
              }
              return CompletableFuture.completedFuture((Object) a);
            });
  }

  private void check(List<Runner> runners) throws Exception {
    record.line("script", "answers to POST by status (0: none): " + answers);
    long inUse = runners.stream().mapToLong(Runner::cpuInUse).sum();
    record.line("script", "cpu in use " + inUse + " of " + runners.size() * RUNNER_CPU);
    Map<String, CompletableFuture<Cell.Answer>> states = new ConcurrentHashMap<>();
    int next = 0;
    for (String id : accepted.keySet()) {
      states.put(id, cell.call(next++ % 3, "GET", "/jobs/" + id, null));
      if (next % 50 == 0) {
        Thread.sleep(100);
      }
    }
    for (String id : accepted.keySet()) {
      Cell.Answer a = states.get(id).get();
      Jobs.Seen seen = jobs.seen(id);
      long idle = Http.now() - seen.lastChangeMillis;
      if (a.status() != 200) {
        record.broken("LOST: GET of accepted job " + id + " -> " + a.status());
      } else if (seen.running == 0 && seen.done < steps.get(id) && idle > IDLE_MILLIS) {
        record.broken(
            "LOST: accepted job " + id + " has nothing running for " + idle + " ms, "
                + seen.done + " of " + steps.get(id) + " tasks done, shown as " + a.body());
      } else {
        record.line("client", "GET " + id + " -> " + a.body());
      }
    }
    for (int i = 0; i < 3; i++) {
      String id = String.format("%016x", random.nextLong());
      String body = "{\"spec\":\"ms=10;\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem-mb\":16}]}";
      jobs.add(id, new Jobs.Size(100, 16));
      Cell.Answer a = cell.call(i, "POST", "/jobs/" + id, body).get();
      record.line("client", "a new POST at instance " + (i + 1) + " -> " + a.status());
    }
  }
}
