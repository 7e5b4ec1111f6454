package dev.dandelionport.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Submits jobs like callers do, spread evenly over a period, and afterwards compares what the
 * callers were told with what the workers ran.
 */
public final class LoadTool {

  /**
   * What to submit.
   *
   * @param entryUrls URLs of the entry instances
   * @param platformUrl URL of the stand-in platform
   * @param keys keys to submit with, used in turn
   * @param openQueue queue that accepts work without a key
   * @param requests number of requests
   * @param callers largest number of callers at the same time
   * @param seconds period over which the requests are spread
   * @param seed seed of the random choices
   */
  public record Plan(
      List<String> entryUrls,
      String platformUrl,
      List<String> keys,
      String openQueue,
      int requests,
      int callers,
      int seconds,
      long seed) {}

  /** Counts of the whole run; violations are those of invariants other than the former counts. */
  public record Result(
      int submitted, int answered, int refused, int lost, int doubled, int violations) {}

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long RESPONSE_MILLIS = 20_000;

  /** Time for which the workers may still stop cancelled jobs, in milliseconds. */
  private static final long SETTLE_MILLIS = 1_000;

  /** Run time of a job that ends only when it is cancelled, in milliseconds. */
  private static final long ENDLESS_MILLIS = 600_000;

  private final Plan plan;
  private final List<WebClient> entries = new ArrayList<>();
  private final List<LoadOutcome> outcomes = Collections.synchronizedList(new ArrayList<>());

  /** Creates a tool for one run of {@code plan}. */
  public LoadTool(Plan plan) {
    this.plan = plan;
    for (String url : plan.entryUrls()) {
      entries.add(
          WebClient.builder(url).responseTimeout(Duration.ofMillis(RESPONSE_MILLIS)).build());
    }
  }

  /** Submits everything, waits for the answers, and checks them against the workers' records. */
  public Result run(PrintStream out) {
    ExecutorService callers = Executors.newFixedThreadPool(plan.callers());
    final long begin = System.currentTimeMillis();
    for (LoadRequest r : requests()) {
      callers.execute(
          () -> {
            pause(begin + r.dueMillis() - System.currentTimeMillis());
            outcomes.add(new LoadCaller(entries, plan.openQueue(), r).call());
          });
    }
    callers.shutdown();
    try {
      while (!callers.awaitTermination(2, TimeUnit.SECONDS)) {
        out.println(
            "progress: "
                + outcomes.size()
                + " of "
                + plan.requests()
                + " requests have an outcome");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    pause(SETTLE_MILLIS);
    return new LoadReport(List.copyOf(outcomes), fetchRecords()).print(out);
  }

  private List<LoadRequest> requests() {
    Random random = new Random(plan.seed());
    List<LoadRequest> all = new ArrayList<>();
    for (int i = 0; i < plan.requests(); i++) {
      LoadKind k = LoadKind.choose(random);
      String key = plan.keys().get(i % plan.keys().size());
      int entry = random.nextInt(entries.size());
      long runMillis = 5 + random.nextInt(60);
      long due = TimeUnit.SECONDS.toMillis(plan.seconds()) * i / plan.requests();
      all.add(
          new LoadRequest(
              k,
              key,
              requestKey(k, i, random),
              entry,
              k.isCancelled() ? ENDLESS_MILLIS : runMillis,
              due));
    }
    return all;
  }

  /** Returns a request key; without a team key it must be long and random. */
  private String requestKey(LoadKind kind, int number, Random random) {
    String key = "load-" + plan.seed() + "-" + number;
    return kind == LoadKind.OPEN
        ? key + "-" + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong())
        : key;
  }

  private static void pause(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private JsonNode fetchRecords() {
    try {
      return JSON.readTree(
          WebClient.builder(plan.platformUrl())
              .maxResponseLength(0)
              .build()
              .get("/standin/runs")
              .aggregate()
              .join()
              .contentUtf8());
    } catch (IOException e) {
      throw new UncheckedIOException("the platform sent malformed records", e);
    }
  }
}
