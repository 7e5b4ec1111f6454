package dev.dandelionport.node.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import dev.dandelionport.node.process.Settings.OperatorKey;
import dev.dandelionport.node.request.RequestLimits;
import dev.dandelionport.standin.Platform;
import io.opentelemetry.sdk.trace.SpanProcessor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

/** Runs a stand-in platform and instances in this process, with the quickstart manifest. */
final class TestCell implements AutoCloseable {

  static final String KEY = "puht.puht-secret";
  static final String OPERATOR = "operator.quickstart-operator-secret";

  private static final long AWAIT_TIMEOUT_MILLIS = 120_000;

  private static final ObjectMapper JSON = new ObjectMapper();

  final List<Node> nodes = new ArrayList<>();
  private final Set<Integer> stopped = ConcurrentHashMap.newKeySet();
  private final Platform platform;
  private final int platformPort;

  private TestCell(Platform platform, int port, int instances, SpanProcessor spans) {
    this.platform = platform;
    this.platformPort = port;
    for (int i = 0; i < instances; i++) {
      Node n = new Node(settings("entry-" + (i + 1), port), spans);
      nodes.add(n);
      n.start().join();
    }
  }

  /** Starts a cell and waits until all instances are ready. */
  static TestCell ready(int instances, int workers) throws Exception {
    return ready(instances, workers, null);
  }

  /** Starts a cell that passes ended spans to {@code spans}, and waits until it is ready. */
  static TestCell ready(int instances, int workers, SpanProcessor spans) throws Exception {
    TestCell cell = start(instances, workers, spans);
    cell.commitManifest();
    awaitTrue(
        () ->
            cell.nodes.stream()
                .allMatch(n -> cell.statusOf(cell.nodes.indexOf(n), "/readyz") == 200));
    return cell;
  }

  /** Starts a cell without a committed manifest; its instances do not become ready. */
  static TestCell withoutManifest(int instances, int workers) {
    return start(instances, workers, null);
  }

  private static TestCell start(int instances, int workers, SpanProcessor spans) {
    Map<String, Long> capacity =
        Map.of("slots", 8L, "connections", 64L, "milliCores", 64_000L, "memoryMb", 131_072L);
    List<String> domains = List.of("fd-a", "fd-b", "fd-c");
    // One worker per rack, so that every partition has workers.
    Platform.Fleet fleet = new Platform.Fleet("tallinn", domains, workers, 1, capacity);
    Platform platform = new Platform("127.0.0.1", 0, fleet);
    return new TestCell(platform, platform.start(), instances, spans);
  }

  void commitManifest() throws IOException {
    Path manifest = Path.of("..", "examples", "quickstart", "manifest-1.json");
    call(0, HttpMethod.PUT, "/v1/operator/manifest", OPERATOR, Files.readString(manifest));
  }

  /** Submits an urgent repeatable job and waits up to 5 s for its end. */
  AggregatedHttpResponse submit(int instance, String requestKey, String payload) {
    String body =
        "{\"requestKey\":\"%s\",\"workloadClass\":\"urgent\",\"repeatable\":true,"
            + "\"deadlineMillis\":9999999999999,\"waitMillis\":5000,\"payload\":\"%s\"}";
    return call(
        instance, HttpMethod.POST, "/v1/jobs", KEY, String.format(body, requestKey, payload));
  }

  /** Retries {@link #submit} with the same request key until the job has ended. */
  void submitUntilAnswered(int instance, String requestKey, String payload)
      throws InterruptedException {
    awaitTrue(() -> submit(instance, requestKey, payload).status().code() == 200);
  }

  void setStoreDown(boolean down) {
    setFaults("{\"down\":" + down + "}");
  }

  /** Sets faults of the platform, or which failure domains its run checks treat as drained. */
  void setFaults(String json) {
    WebClient.of("http://127.0.0.1:" + platformPort)
        .post("/standin/faults", json)
        .aggregate()
        .join();
  }

  /** Returns the platform's records: counts of invariant violations, and all runs. */
  JsonNode records() throws IOException {
    WebClient c =
        WebClient.builder("http://127.0.0.1:" + platformPort).maxResponseLength(0).build();
    return JSON.readTree(c.get("/standin/runs").aggregate().join().contentUtf8());
  }

  /** Stops an instance gracefully; the others keep running. */
  void stopInstance(int instance) {
    stopped.add(instance);
    nodes.get(instance).stop().join();
  }

  boolean isStopped(int instance) {
    return stopped.contains(instance);
  }

  static Settings settings(String name, int platformPort) {
    String url = "http://127.0.0.1:" + platformPort;
    OperatorKey key =
        new OperatorKey(
            "operator",
            "a1b2c3d4e5f60718",
            "b717864311550db74761e2709523f5cb6c686608178f4000206b4db5a96ce27a");
    return new Settings(
        "quickstart",
        name,
        "tallinn",
        "fd-a",
        "127.0.0.1",
        0,
        0,
        url,
        url,
        List.of(key),
        Optional.empty(),
        Settings.PlatformTls.NONE,
        RequestLimits.DEFAULT,
        Settings.DEFAULT_FRAME_BYTES,
        new Settings.Traces(false, 100));
  }

  /** Waits for a condition; the time limit only aborts runs that hang. */
  static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("condition did not become true");
      }
      Thread.sleep(20);
    }
  }

  int statusOf(int instance, String path) {
    return call(instance, HttpMethod.GET, path, "", "").status().code();
  }

  AggregatedHttpResponse call(
      int instance, HttpMethod method, String path, String key, String body) {
    RequestHeaders h =
        RequestHeaders.builder(method, path)
            .contentType(MediaType.JSON)
            .add("authorization", "Bearer " + key)
            .build();
    return WebClient.of("http://127.0.0.1:" + nodes.get(instance).callerPort())
        .execute(HttpRequest.of(h, HttpData.wrap(body.getBytes(StandardCharsets.UTF_8))))
        .aggregate()
        .join();
  }

  @Override
  public void close() {
    for (int i = 0; i < nodes.size(); i++) {
      if (!isStopped(i)) {
        stopInstance(i);
      }
    }
    platform.close();
  }
}
