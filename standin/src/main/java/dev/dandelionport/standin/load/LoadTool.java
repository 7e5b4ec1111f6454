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
 * Submits jobs as simulated callers, spread evenly over a period, and then compares the outcomes
 * that the callers received with the runs of the workers.
 */
public final class LoadTool {

  /**
   * Settings of a load run.
   *
   * @param entryUrls URLs of the entry instances
   * @param platformUrl URL of the stand-in platform
   * @param keys API keys to submit with, used in turn
   * @param openQueue queue that accepts work without a key
   * @param requests number of requests
   * @param callers maximum number of concurrent callers
   * @param seconds period over which the requests are spread
   * @param seed seed of the random generator
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

  /** Totals of a run; {@code violations} counts violated invariants other than double runs. */
  public record Result(
      int submitted, int answered, int refused, int lost, int doubled, int violations) {}

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long RESPONSE_MILLIS = 20_000;

  /** Time that the workers have to stop cancelled jobs after the last outcome, in milliseconds. */
  private static final long SETTLE_MILLIS = 1_000;

  /** Run time of a job that is expected to run until it is cancelled, in milliseconds. */
  private static final long ENDLESS_MILLIS = 600_000;

  private final Plan plan;
  private final List<WebClient> entries = new ArrayList<>();
  private final List<LoadOutcome> outcomes = Collections.synchronizedList(new ArrayList<>());

  /** Creates a load tool that runs {@code plan} once. */
  public LoadTool(Plan plan) {
    this.plan = plan;
    for (String url : plan.entryUrls()) {
      entries.add(
          WebClient.builder(url).responseTimeout(Duration.ofMillis(RESPONSE_MILLIS)).build());
    }
  }

  /** Submits all requests, waits for their outcomes and compares them with the run records. */
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

  /** Returns a request key; a submit without an API key needs a long random one. */
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
