package review2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The instances, started with the command of deploy/system.toml, and calls to them. */
final class Cell implements AutoCloseable {

  static final String KEY = "key-1";

  private final Path repo;
  private final Path dir;
  private Http advice;
  private final List<Process> processes = new CopyOnWriteArrayList<>();
  final List<Integer> frontends = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1_000))
          .executor(Executors.newCachedThreadPool(r -> daemon(r)))
          .build();

  Cell(Path repo) throws Exception {
    this.repo = repo;
    this.dir = Files.createTempDirectory("dandelionport-review");
    // Ends the instances too if the script itself is stopped.
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
  }

  private static Thread daemon(Runnable r) {
    Thread t = new Thread(r);
    t.setDaemon(true);
    return t;
  }

  static int freePort() throws Exception {
    try (ServerSocket s = new ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
      return s.getLocalPort();
    }
  }

  /** Starts one instance with settings like those of a small deployment. */
  void start(String name, String zone, int storePort) throws Exception {
    if (advice == null) {
      // No queue asks for advice, but the settings always name the service.
      advice = new Http(0, (x, b) -> Http.reply(404, Http.object()));
    }
    int frontend = freePort();
    frontends.add(frontend);
    int peer = freePort();
    ObjectNode n = Http.object();
    n.put("node-name", name).put("role", "edge").put("machine-class", "edge");
    n.putArray("serves").add("edge");
    n.put("ip", "127.0.0.1").put("zone", zone).put("region", "z");
    n.putObject("zones").put("z-1", "z").put("z-2", "z").put("z-3", "z");
    n.putObject("listen-addrs")
        .put("frontend", "127.0.0.1:" + frontend)
        .put("readiness", "127.0.0.1:" + freePort());
    n.putArray("port-range").add(peer).add(Math.min(65_535, peer + 1));
    n.putArray("seeds");
    n.put("bootstrap", true).put("in-tolerance", false);
    n.putObject("limits").put("cpu-share", 0.75).put("cores", 1).put("memory-mb", 430)
        .put("max-fds", 4100).put("link-mbps", 1000.0).put("disk-mb", 0);
    n.putNull("data-dir").put("discovery", "platform").put("entry", "vip");
    n.put("heartbeat-ms", Runner.HEARTBEAT_MILLIS);
    n.putObject("bounds").put("contact-ms", 3000).put("ack-ms", 4000).put("drain-ms", 2000)
        .put("grace-s", 6).put("config-apply-ms", 2000).put("revoke-ms", 5000)
        .put("hold-max-ms", 6000).put("stop-ms", 200).put("gang-timeout-ms", 3000)
        .put("cancel_ms", 3000).put("visible_ms", 3000).put("early_ms", 250).put("finish_s", 14)
        .put("status_s", 120).put("remote-factor", 3).put("checkpoint-interval-s", 2)
        .put("restore-ms", 100);
    n.put("control-mode", "push").put("advice", "127.0.0.1:" + advice.port());
    n.putObject("platform").put("address", "127.0.0.1:" + storePort).put("form", "kv")
        .put("writes-per-s", 1200).put("reads-per-s", 6000).put("history-s", 20)
        .put("value-bytes", Store.VALUE_BYTES).put("ttl-min-ms", 1000);
    Path settings = dir.resolve(name + ".json");
    Files.writeString(settings, n.toString());
    ProcessBuilder b = new ProcessBuilder(runCommand());
    b.directory(repo.toFile());
    b.environment().put("DANDELIONPORT_BOOT", settings.toString());
    File log = dir.resolve(name + ".log").toFile();
    b.redirectErrorStream(true).redirectOutput(log);
    processes.add(b.start());
  }

  private List<String> runCommand() throws Exception {
    for (String line : Files.readAllLines(repo.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" +"));
      }
    }
    throw new IllegalStateException("deploy/system.toml has no run command");
  }

  /** Returns a configuration with one queue that any runner of the service may serve. */
  static String configuration(int maxAttempts, int priority) {
    ObjectNode n = Http.object().put("version", 3);
    ArrayNode routes = n.putArray("routes");
    routes.addObject().put("name", "q-1").put("host", "127.0.0.1").put("prefix", "/jobs/")
        .put("kind", "non_idempotent").put("timeout-ms", 3000).put("target-duration-ms", 3000)
        .put("priority", priority).put("service", "svc").put("max-attempts", maxAttempts)
        .put("slack-factor", 4).put("public", false);
    n.putArray("services").addObject().put("name", "svc").put("admission-check", false);
    n.putObject("limits");
    ObjectNode t = n.putArray("tenants").addObject().put("name", "t-1").put("weight", 1000);
    t.putArray("api-keys").add(KEY);
    t.putObject("ceiling").put("cpu", 0).put("mem-mb", 0).put("gpu", 0);
    return n.toString();
  }

  /** Returns a configuration with a second queue, of priority 0, below /urgent/. */
  static String configurationWithUrgent() throws Exception {
    ObjectNode n = (ObjectNode) Http.JSON.readTree(configuration(3, 1));
    ArrayNode routes = (ArrayNode) n.path("routes");
    ObjectNode urgent = routes.get(0).deepCopy();
    urgent.put("name", "q-0").put("prefix", "/urgent/").put("priority", 0);
    routes.add(urgent);
    return n.toString();
  }

  /** Sends a call to an instance; the status is 0 if there was no answer within the deadline. */
  CompletableFuture<Answer> call(int instance, String method, String path, String body) {
    HttpRequest.BodyPublisher p =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body);
    HttpRequest r =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + frontends.get(instance) + path))
            .timeout(Duration.ofMillis(3_000))
            .header("Authorization", "Bearer " + KEY)
            .header("Content-Type", "application/json")
            .header("Dandelionport-Deadline-Ms", "3000")
            .method(method, p)
            .build();
    return client
        .sendAsync(r, HttpResponse.BodyHandlers.ofString())
        .handle((a, e) -> e == null ? new Answer(a.statusCode(), a.body()) : new Answer(0, "" + e));
  }

  record Answer(int status, String body) {}

  /** Sends a signal to an instance. */
  void signal(int instance, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(processes.get(instance).pid()))
        .start()
        .waitFor();
  }

  /** Waits until an instance serves; returns false if none does in time. */
  boolean awaitServing(long millis) throws Exception {
    long deadline = Http.now() + millis;
    while (Http.now() < deadline) {
      boolean all = true;
      for (int i = 0; i < frontends.size(); i++) {
        all &= call(i, "GET", "/jobs/", null).get().status() == 200;
      }
      if (all) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  @Override
  public void close() throws Exception {
    for (Process p : processes) {
      p.destroyForcibly();
    }
    for (Process p : processes) {
      p.waitFor(5, TimeUnit.SECONDS);
    }
    String keep = System.getenv("KEEP_LOGS");
    if (keep != null) {
      for (File f : dir.toFile().listFiles()) {
        Files.copy(
            f.toPath(),
            Path.of(keep).resolve(f.getName()),
            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
      }
    }
    try (Stream<Path> files = Files.walk(dir)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    }
  }
}
