package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * An instance that bin/dandelionport runs as a child process. Its working, home and temporary
 * folder is empty, so that tests detect every file that it writes.
 */
final class Daemon implements AutoCloseable {

  private static final String KEY = "puht.puht-secret";
  private static final String OPERATOR = "operator.quickstart-operator-secret";
  private static final long TIMEOUT_SECONDS = 60;
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Pattern PORT =
      Pattern.compile(
          "\"event\":\"DP1002\".*\"port\":(\\d+)|\"port\":(\\d+).*\"event\":\"DP1002\"");

  final List<String> output = new CopyOnWriteArrayList<>();
  private final Process process;
  private final Path folder;
  private final Thread reader;

  Daemon(Path folder, int platformPort) throws IOException {
    this.folder = Files.createDirectory(folder);
    Path settings = folder.resolveSibling(folder.getFileName() + ".json");
    String url = "http://127.0.0.1:" + platformPort;
    Files.writeString(
        settings,
        Files.readString(Path.of("..", "examples", "quickstart", "settings.json"))
            .replace("@N@", folder.getFileName().toString())
            .replace("@CALLER_PORT@", "0")
            .replace("@PEER_PORT@", "0")
            .replace("@PLATFORM@", url));
    Path script = Path.of("..", "bin", "dandelionport").toAbsolutePath().normalize();
    ProcessBuilder b =
        new ProcessBuilder(script.toString(), "instance", "--settings", settings.toString());
    b.environment().put("DANDELIONPORT_CLASSPATH", System.getProperty("surefire.test.class.path"));
    b.environment().put("JAVA_TOOL_OPTIONS", "-Djava.io.tmpdir=" + folder);
    b.environment().put("TMPDIR", folder.toString());
    b.environment().put("HOME", folder.toString());
    process = b.directory(folder.toFile()).redirectErrorStream(true).start();
    reader = new Thread(this::read, "daemon output");
    reader.setDaemon(true);
    reader.start();
  }

  private void read() {
    try (BufferedReader r = process.inputReader(StandardCharsets.UTF_8)) {
      r.lines().forEach(output::add);
    } catch (IOException e) {
      output.add("output ended: " + e);
    }
  }

  static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("condition did not become true within " + TIMEOUT_SECONDS + " s");
      }
      Thread.sleep(50);
    }
  }

  private int port() {
    return output.stream()
        .map(PORT::matcher)
        .filter(Matcher::find)
        .mapToInt(m -> Integer.parseInt(m.group(1) == null ? m.group(2) : m.group(1)))
        .findFirst()
        .orElse(0);
  }

  void awaitServing() throws InterruptedException {
    awaitTrue(() -> port() != 0);
  }

  void awaitReady() throws InterruptedException {
    awaitServing();
    awaitTrue(() -> call(HttpMethod.GET, "/readyz", "", "").status().code() == 200);
  }

  void commitManifest() throws IOException {
    Path m = Path.of("..", "examples", "quickstart", "manifest-1.json");
    call(HttpMethod.PUT, "/v1/operator/manifest", OPERATOR, Files.readString(m));
  }

  int submit(String requestKey, int runMillis) {
    String body =
        "{\"requestKey\":\"%s\",\"workloadClass\":\"deferrable\",\"repeatable\":false,"
            + "\"deadlineMillis\":9999999999999,\"payload\":\"run=%d\"}";
    String json = String.format(body, requestKey, runMillis);
    return call(HttpMethod.POST, "/v1/jobs", KEY, json).status().code();
  }

  String state(String requestKey) throws IOException {
    AggregatedHttpResponse r =
        call(HttpMethod.GET, "/v1/jobs/" + requestKey + "?waitMillis=5000", KEY, "");
    JsonNode n = JSON.readTree(r.contentUtf8());
    return n.path("state").asText(n.path("error").asText());
  }

  private AggregatedHttpResponse call(HttpMethod method, String path, String key, String body) {
    RequestHeaders h =
        RequestHeaders.builder(method, path)
            .contentType(MediaType.JSON)
            .add("authorization", "Bearer " + key)
            .build();
    HttpData data = HttpData.wrap(body.getBytes(StandardCharsets.UTF_8));
    return WebClient.of("http://127.0.0.1:" + port())
        .execute(HttpRequest.of(h, data))
        .aggregate()
        .join();
  }

  List<String> readProcFile(String file) throws IOException {
    return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), file));
  }

  /** Returns the number after {@code name} in a /proc file of the process. */
  long readProcNumber(String file, String prefix) throws IOException {
    String line =
        readProcFile(file).stream().filter(l -> l.startsWith(prefix)).findFirst().orElseThrow();
    return Long.parseLong(line.substring(prefix.length()).strip().split(" ")[0]);
  }

  /** Returns the link targets of the open file descriptors. */
  List<String> descriptors() throws IOException {
    try (Stream<Path> s = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
      return s.map(Daemon::linkTarget).toList();
    }
  }

  private static String linkTarget(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString();
    } catch (IOException e) {
      return "closed";
    }
  }

  long childProcessCount() {
    return process.descendants().count();
  }

  List<Path> filesWritten() throws IOException {
    try (Stream<Path> s = Files.walk(folder)) {
      return s.filter(p -> !p.equals(folder)).toList();
    }
  }

  /** Sends SIGTERM and returns the exit status. */
  int terminate() throws InterruptedException {
    // Process.destroy would also close the output stream before it is read to the end.
    process.toHandle().destroy();
    if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new AssertionError(
          "the process did not stop within " + TIMEOUT_SECONDS + " s of SIGTERM");
    }
    reader.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    return process.exitValue();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
