package dev.dandelionport.standin.fleet;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Builds a class data sharing archive: runs an instance against the stand-in so that its virtual
 * machine dumps the loaded classes on exit. The archive cuts the start time by about half. A second
 * instance makes the first one load what it needs next to an owner, as most instances are.
 */
public final class ArchiveBuild {

  private static final int RUNNERS = 6;
  private static final int JOBS = 12;
  private static final long JOBS_TIMEOUT_MILLIS = 15_000;
  private static final long STOP_TIMEOUT_SECONDS = 30;

  /** Time that covers one report of the owner's load and one check of the settings file. */
  private static final long PERIODIC_WORK_MILLIS = 2_500;

  private static final String LOCALHOST = "127.0.0.1";

  private ArchiveBuild() {}

  /** Builds the archive; arguments are the archive file and the command that starts an instance. */
  public static void main(String[] args) throws IOException, InterruptedException {
    Path archive = Path.of(args[0]).toAbsolutePath();
    Files.deleteIfExists(archive);
    List<String> command = List.of(args).subList(1, args.length);
    List<String> recorded = new ArrayList<>(command);
    // Suppresses the warnings about classes that cannot be archived.
    recorded.addAll(1, List.of("-Xlog:disable", "-XX:ArchiveClassesAtExit=" + archive));
    try (FleetPlatform platform = new FleetPlatform(RUNNERS)) {
      record(platform.port(), archive.resolveSibling("archive-settings.json"), recorded, command);
    }
    // A missing archive does not fail the build; instances only start more slowly without it.
    System.out.println(
        Files.exists(archive) ? "class archive: " + archive : "no class archive was written");
    System.exit(0);
  }

  /**
   * Runs the recorded instance in both roles: next to an owner, then as the owner, alone and with
   * another instance.
   */
  private static void record(
      int platformPort, Path settings, List<String> recorded, List<String> command)
      throws IOException, InterruptedException {
    int port = freePort();
    int peerPort = freePort();
    Path peerSettings = settings.resolveSibling("archive-peer-settings.json");
    Files.writeString(settings, settingsJson("archive", platformPort, port));
    Files.writeString(peerSettings, settingsJson("archive-peer", platformPort, peerPort));
    List<Process> processes = new ArrayList<>();
    try {
      processes.add(start(command, peerSettings));
      runJobs(peerPort, 0);
      processes.add(start(recorded, settings));
      runJobs(port, JOBS);
      stop(processes.get(0));
      runJobs(port, 2 * JOBS);
      processes.add(start(command, peerSettings));
      runJobs(peerPort, 3 * JOBS);
      runJobs(port, 4 * JOBS);
      Thread.sleep(PERIODIC_WORK_MILLIS);
    } finally {
      for (Process p : processes) {
        stop(p);
      }
    }
  }

  private static Process start(List<String> command, Path settings) throws IOException {
    ProcessBuilder b = new ProcessBuilder(command).inheritIO();
    b.environment().put("DANDELIONPORT_BOOT", settings.toString());
    return b.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
  }

  private static void stop(Process p) throws InterruptedException {
    p.destroy();
    if (!p.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      p.destroyForcibly();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0)) {
      return s.getLocalPort();
    }
  }

  private static String settingsJson(String name, int platformPort, int callerPort)
      throws IOException {
    int peerPort = freePort();
    String address = "\"" + LOCALHOST + ":" + platformPort + "\"";
    return ("{\"node-name\":\"%s\",\"role\":\"edge\",\"zone\":\"zone-0\","
            + "\"region\":\"region\",\"ip\":\"%s\","
            + "\"listen-addrs\":{\"frontend\":\"%s:%d\",\"readiness\":\"%s:%d\"},"
            + "\"port-range\":[%d,%d],"
            + "\"bounds\":{},\"advice\":%s,\"platform\":{\"address\":%s,\"ttl-min-ms\":1000}}")
        .formatted(
            name,
            LOCALHOST,
            LOCALHOST,
            callerPort,
            LOCALHOST,
            freePort(),
            peerPort,
            peerPort,
            address,
            address);
  }

  /**
   * Submits jobs, the first with number {@code first} + 1, and sends each kind of request, so that
   * the classes behind them are loaded.
   */
  private static void runJobs(int port, int first) throws InterruptedException {
    HttpClient client = HttpClient.newHttpClient();
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(JOBS_TIMEOUT_MILLIS);
    String body =
        "{\"spec\":\"5\",\"steps\":[{\"count\":2,\"cpu\":100,\"mem-mb\":10,\"estimate-ms\":5},"
            + "{\"count\":2,\"cpu\":100,\"mem-mb\":10,\"estimate-ms\":5,\"gang\":true,"
            + "\"after\":[0]}]}";
    for (int i = 0; i < JOBS && System.nanoTime() < deadline; i++) {
      String id = String.format("%016x", first + i + 1);
      while (call(client, port, id, "POST", body) != 200 && System.nanoTime() < deadline) {
        Thread.sleep(100);
      }
      Thread.sleep(50);
      call(client, port, id, "GET", "");
    }
    call(client, port, "", "GET", "");
    call(client, port, String.format("%016x", first + 1), "DELETE", "");
  }

  private static int call(HttpClient client, int port, String id, String method, String body)
      throws InterruptedException {
    HttpRequest r =
        HttpRequest.newBuilder(
                URI.create(
                    "http://" + LOCALHOST + ":" + port + FleetPlatform.QUEUE_PATH_PREFIX + id))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Authorization", "Bearer " + FleetPlatform.API_KEY)
            .header("Content-Type", "application/json")
            .build();
    try {
      return client.send(r, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      // The instance is not listening yet.
      return 0;
    }
  }
}
