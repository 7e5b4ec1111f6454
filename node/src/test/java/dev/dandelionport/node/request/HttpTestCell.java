package dev.dandelionport.node.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import dev.dandelionport.node.process.Node;
import dev.dandelionport.node.process.Settings;
import dev.dandelionport.node.process.Settings.OperatorKey;
import dev.dandelionport.node.version.KeyIndex;
import dev.dandelionport.standin.Platform;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Runs a stand-in platform and one ready instance in this process, for tests over HTTP. */
final class HttpTestCell implements AutoCloseable {

  static final ObjectMapper JSON = new ObjectMapper();
  static final String SALT = "0011223344556677";
  static final String OPERATOR = "anna.operator-secret";
  static final String TEAM_A = "ka.secret-a";
  static final String TEAM_B = "kb.secret-b";
  private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(120);

  private final Platform platform;
  private final Node node;
  private final WebClient client;

  /** Status code and JSON body of a response. */
  record Answer(int status, JsonNode body) {
    String error() {
      return body.path("error").asText();
    }

    String field() {
      return body.path("field").asText();
    }
  }

  HttpTestCell(RequestLimits limits) throws Exception {
    platform =
        new Platform(
            "127.0.0.1",
            0,
            new Platform.Fleet("r1", List.of("fd-a"), 4, 2, Platform.Fleet.DEFAULT_CAPACITY));
    String url = "http://127.0.0.1:" + platform.start();
    OperatorKey operator = new OperatorKey("anna", SALT, KeyIndex.hash(SALT, "operator-secret"));
    node =
        new Node(
            new Settings(
                "c1",
                "entry-1",
                "r1",
                "fd-a",
                "127.0.0.1",
                0,
                0,
                url,
                url,
                List.of(operator),
                Optional.empty(),
                Settings.PlatformTls.NONE,
                limits,
                Settings.DEFAULT_FRAME_BYTES,
                Settings.Traces.NONE));
    node.start().join();
    client = WebClient.of("http://127.0.0.1:" + port());
    Answer a = putManifest(manifest(1, 100));
    if (a.status() != 200) {
      throw new AssertionError("first manifest refused: " + a);
    }
    long deadlineNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
    while (call(HttpMethod.GET, "/readyz", "", "").status() != 200
        || node.engine().serving().isEmpty()
        || node.engine().workers().isEmpty()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("the instance did not become ready");
      }
      Thread.sleep(20);
    }
  }

  int port() {
    return node.callerPort();
  }

  static String manifest(long version, int admissionOfB) {
    String key = "{\"id\":\"%s\",\"salt\":\"" + SALT + "\",\"hash\":\"%s\"}";
    String team =
        "{\"id\":\"%s\",\"clientAccount\":\"acme\",\"homeRegion\":\"r1\",\"share\":1,\"limit\":8,"
            + "\"admissionPerSecond\":%d,\"keys\":[%s]}";
    String a = String.format(key, "ka", KeyIndex.hash(SALT, "secret-a"));
    String b = String.format(key, "kb", KeyIndex.hash(SALT, "secret-b"));
    return "{\"version\":"
        + version
        + ",\"cell\":\"c1\","
        + "\"regions\":[{\"id\":\"r1\",\"partitions\":1}],"
        + "\"failureDomains\":[{\"id\":\"fd-a\",\"region\":\"r1\",\"inService\":true}],"
        + "\"teams\":["
        + String.format(team, "a", 100_000, a)
        + ","
        + String.format(team, "b", admissionOfB, b)
        + "],"
        + "\"queues\":[{\"id\":\"front\",\"team\":\"a\",\"open\":true,\"defaultClass\":\"urgent\","
        + "\"tokenKey\":\""
        + "5a".repeat(32)
        + "\"},{\"id\":\"own\",\"team\":\"a\"}]}";
  }

  Answer putManifest(String manifest) throws IOException {
    return call(HttpMethod.PUT, "/v1/operator/manifest", OPERATOR, manifest);
  }

  Answer submit(String key, String body) throws IOException {
    return call(HttpMethod.POST, "/v1/jobs", key, body);
  }

  Answer call(HttpMethod method, String path, String key, String body) throws IOException {
    RequestHeadersBuilder h = RequestHeaders.builder(method, path).contentType(MediaType.JSON);
    if (!key.isEmpty()) {
      h.add("authorization", "Bearer " + key);
    }
    AggregatedHttpResponse r =
        body.isEmpty()
            ? client.execute(h.build()).aggregate().join()
            : client.execute(h.build(), body).aggregate().join();
    String text = r.contentUtf8();
    JsonNode n = text.startsWith("{") ? JSON.readTree(text) : JSON.createObjectNode();
    return new Answer(r.status().code(), n);
  }

  @Override
  public void close() {
    node.stop().join();
    platform.close();
  }
}
