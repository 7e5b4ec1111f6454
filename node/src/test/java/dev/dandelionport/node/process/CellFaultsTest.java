package dev.dandelionport.node.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests faults of a whole cell over its real interfaces. Each request is retried with its request
 * key until its job has ended, as callers do. Time limits only abort runs that hang.
 */
@Timeout(300)
class CellFaultsTest {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int INSTANCES = 3;
  private static final long RETRY_MILLIS = 50;
  private static final String OLD_KEY = "old.old-secret";

  private final ExecutorService callers = Executors.newCachedThreadPool();
  private TestCell cell;

  @BeforeEach
  void start() throws Exception {
    cell = TestCell.ready(INSTANCES, 12);
  }

  @AfterEach
  void stop() throws IOException {
    callers.shutdownNow();
    JsonNode records = cell.records();
    cell.close();
    for (String count : List.of("overlaps", "overcommits", "restarts", "drainedStarts")) {
      assertThat(records.path(count).asInt(-1)).as(count).isZero();
    }
  }

  private static String jobJson(
      String requestKey, String workloadClass, boolean repeatable, int run) {
    return ("{\"requestKey\":\"%s\",\"workloadClass\":\"%s\",\"repeatable\":%s,\"milliCores\":2000,"
            + "\"deadlineMillis\":9999999999999,\"waitMillis\":2000,\"payload\":\"run=%d\"}")
        .formatted(requestKey, workloadClass, repeatable, run);
  }

  /** Submits a job to the instances in turn until it has ended, and returns its final state. */
  private String submitUntilEnded(String job, int firstInstance) {
    for (int i = firstInstance; ; i++) {
      int instance = i % INSTANCES;
      if (cell.isStopped(instance)) {
        continue;
      }
      try {
        AggregatedHttpResponse r =
            cell.call(instance, HttpMethod.POST, "/v1/jobs", TestCell.KEY, job);
        if (r.status().code() == 200) {
          return JSON.readTree(r.contentUtf8()).path("state").asText();
        }
        JsonNode n = JSON.readTree(r.contentUtf8());
        assertThat(r.status().code() == 202 || n.path("mayRetry").asBoolean())
            .as(r.contentUtf8())
            .isTrue();
        Thread.sleep(RETRY_MILLIS);
      } catch (InterruptedException | IOException e) {
        throw new IllegalStateException(e);
      } catch (java.util.concurrent.CompletionException e) {
        // The outcome is unknown after a broken connection; retry with the same request key.
        continue;
      }
    }
  }

  private List<CompletableFuture<String>> submitJobs(String prefix, int jobs, int run) {
    List<CompletableFuture<String>> all = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      String job = jobJson(prefix + i, "deferrable", false, run);
      int first = i;
      all.add(CompletableFuture.supplyAsync(() -> submitUntilEnded(job, first), callers));
    }
    return all;
  }

  private static void assertAllSucceed(List<CompletableFuture<String>> jobs) {
    assertThat(jobs).allSatisfy(j -> assertThat(j.join()).isEqualTo("succeeded"));
  }

  /** Returns the number of runs of each job whose request key starts with {@code prefix}. */
  private Map<String, Integer> runsPerJob(String prefix) throws IOException {
    Map<String, Integer> count = new TreeMap<>();
    for (JsonNode r : cell.records().path("runs")) {
      String attempt = r.path("attempt").asText();
      if (attempt.contains("/" + prefix)) {
        count.merge(attempt.substring(0, attempt.indexOf('#')), 1, Integer::sum);
      }
    }
    return count;
  }

  private Set<String> workersOf(String prefix) throws IOException {
    Set<String> workers = new HashSet<>();
    for (JsonNode r : cell.records().path("runs")) {
      if (r.path("attempt").asText().contains("/" + prefix)) {
        workers.add(r.path("worker").asText());
      }
    }
    return workers;
  }

  private JsonNode callOperatorApi(int instance, HttpMethod method, String path, String body)
      throws IOException {
    return JSON.readTree(
        cell.call(instance, method, "/v1/operator/" + path, TestCell.OPERATOR, body).contentUtf8());
  }

  private long manifestVersion(int instance) {
    return cell.nodes.get(instance).engine().state().manifest().orElseThrow().version();
  }

  private void awaitVersion(long version) throws InterruptedException {
    TestCell.awaitTrue(
        () -> {
          for (int i = 0; i < INSTANCES; i++) {
            if (manifestVersion(i) < version) {
              return false;
            }
          }
          return true;
        });
  }

  private static String quickstartManifest(int n) throws IOException {
    return Files.readString(Path.of("..", "examples", "quickstart", "manifest-" + n + ".json"));
  }

  private void drainOrReturn(String action, long base) throws Exception {
    String body = "{\"baseVersion\":" + base + "}";
    JsonNode r = callOperatorApi(1, HttpMethod.POST, "failure-domains/fd-b/" + action, body);
    assertThat(r.path("committed").asBoolean()).as(r.toString()).isTrue();
    awaitVersion(base + 1);
    cell.setFaults("{\"drained\":{\"fd-b\":" + action.equals("drain") + "}}");
  }

  /**
   * Guards against waiting jobs that are lost or run twice when their owner is stopped gracefully.
   */
  @Test
  void waitingRequestsRunOnceWhenTheirOwnerStops() throws Exception {
    List<CompletableFuture<String>> jobs = submitJobs("stop-", 60, 400);
    TestCell.awaitTrue(() -> owningInstance() >= 0 && !hasNoRuns("stop-"));
    cell.stopInstance(owningInstance());
    assertAllSucceed(jobs);
    assertThat(runsPerJob("stop-")).hasSize(60).allSatisfy((k, n) -> assertThat(n).isEqualTo(1));
  }

  private int owningInstance() {
    for (int i = 0; i < INSTANCES; i++) {
      if (!cell.nodes.get(i).engine().serving().isEmpty()) {
        return i;
      }
    }
    return -1;
  }

  private boolean hasNoRuns(String prefix) {
    try {
      return runsPerJob(prefix).isEmpty();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Guards against tasks that start in a drained failure domain, or none that start after its
   * return.
   */
  @Test
  void drainedFailureDomainGetsNoWorkUntilItsReturn() throws Exception {
    Set<String> inDomain = Set.of("worker-2", "worker-5", "worker-8", "worker-11");
    drainOrReturn("drain", 1);
    assertAllSucceed(submitJobs("out-", 48, 20));
    assertThat(workersOf("out-")).isNotEmpty().doesNotContainAnyElementsOf(inDomain);
    drainOrReturn("return", 2);
    int round = 0;
    do {
      // A few of these long jobs fill a worker, so that all workers are needed.
      assertAllSucceed(submitJobs("back-" + round + "-", 48, 200));
      round++;
    } while (workersOf("back-").stream().noneMatch(inDomain::contains));
  }

  /** Guards against a withdrawn key that some instance still accepts or accepts again later. */
  @Test
  void withdrawnKeyIsRefusedByAllInstances() throws Exception {
    assertThat(statusWithKey(0, OLD_KEY)).isEqualTo(404);
    assertThat(
            callOperatorApi(2, HttpMethod.PUT, "manifest", quickstartManifest(2))
                .path("committed")
                .asBoolean())
        .isTrue();
    for (int i = 0; i < INSTANCES; i++) {
      int instance = i;
      TestCell.awaitTrue(() -> statusWithKey(instance, OLD_KEY) == 401);
    }
    for (int i = 0; i < 30; i++) {
      assertThat(statusWithKey(i % INSTANCES, OLD_KEY)).isEqualTo(401);
    }
    String job = jobJson("withdrawn-1", "urgent", true, 1);
    assertThat(cell.call(0, HttpMethod.POST, "/v1/jobs", OLD_KEY, job).status().code())
        .isEqualTo(401);
    assertThat(runsPerJob("withdrawn-")).isEmpty();
    assertThat(submitUntilEnded(job, 0)).isEqualTo("succeeded");
  }

  private int statusWithKey(int instance, String key) {
    return cell.call(instance, HttpMethod.GET, "/v1/jobs/no-such-job", key, "").status().code();
  }

  /** Guards against two concurrent commits that are both reported as successful. */
  @Test
  void oneOfTwoConcurrentCommitsWinsAndTheOtherGetsConflict() throws Exception {
    for (long version = 2; version < 12; version++) {
      List<CompletableFuture<Integer>> commits = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        int instance = i;
        String m =
            quickstartManifest(1)
                .replace("\"version\": 1,", "\"version\": " + version + ",")
                .replace("\"limit\": 160", "\"limit\": " + (100 + version * 2 + i));
        commits.add(
            CompletableFuture.supplyAsync(() -> commitUntilOutcomeKnown(instance, m), callers));
      }
      List<Integer> codes = commits.stream().map(CompletableFuture::join).toList();
      // If the outcome of the winning commit was unknown at first, its retry gets a conflict too.
      assertThat(codes).containsAnyOf(409).isSubsetOf(200, 409);
      awaitVersion(version);
      long first = 100 + version * 2;
      List<Long> possible =
          codes.contains(200) ? List.of(first + codes.indexOf(200)) : List.of(first, first + 1);
      for (int i = 0; i < INSTANCES; i++) {
        JsonNode stored = callOperatorApi(i, HttpMethod.GET, "manifest", "");
        assertThat(stored.path("version").asLong()).isEqualTo(version);
        assertThat(stored.path("teams").get(0).path("limit").asLong()).isIn(possible);
      }
    }
  }

  /** Retries a commit until its outcome is known, and returns the status code. */
  private int commitUntilOutcomeKnown(int instance, String manifest) {
    while (true) {
      AggregatedHttpResponse r =
          cell.call(instance, HttpMethod.PUT, "/v1/operator/manifest", TestCell.OPERATOR, manifest);
      if (r.status().code() != 503) {
        return r.status().code();
      }
      assertThat(r.contentUtf8())
          .contains("\"mayRetry\":true")
          .containsAnyOf("the store does not answer", "the store's answer was lost");
    }
  }

  /** Guards against jobs that are lost or run twice when the store is unavailable for a time. */
  @Test
  void jobsSubmittedDuringStoreOutageEndOnceAfterIt() throws Exception {
    final List<CompletableFuture<String>> before = submitJobs("before-", 24, 500);
    TestCell.awaitTrue(() -> !hasNoRuns("before-"));
    cell.setStoreDown(true);
    final List<CompletableFuture<String>> during = submitJobs("during-", 24, 50);
    AggregatedHttpResponse commit =
        cell.call(
            0, HttpMethod.PUT, "/v1/operator/manifest", TestCell.OPERATOR, quickstartManifest(2));
    assertThat(commit.status().code()).as(commit.contentUtf8()).isEqualTo(503);
    assertThat(JSON.readTree(commit.contentUtf8()).path("error").asText()).isEqualTo("unavailable");
    AggregatedHttpResponse refused =
        cell.call(
            0,
            HttpMethod.POST,
            "/v1/jobs",
            TestCell.KEY,
            jobJson("refused-1", "deferrable", false, 1));
    // An owner with authority rejects the job. Without authority the outcome is unknown, because
    // another owner might have accepted it.
    assertThat(JSON.readTree(refused.contentUtf8()).path("error").asText())
        .isIn("not_run", "unknown");
    cell.setStoreDown(false);
    assertAllSucceed(before);
    assertAllSucceed(during);
    assertThat(submitUntilEnded(jobJson("refused-1", "deferrable", false, 1), 0))
        .isEqualTo("succeeded");
    for (String prefix : List.of("before-", "during-", "refused-")) {
      assertThat(runsPerJob(prefix)).allSatisfy((k, n) -> assertThat(n).as(k).isEqualTo(1));
    }
  }
}
