import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One process of the project, started with the command of the deploy file. */
final class Node {

  private static final List<Process> STARTED = new ArrayList<>();

  private final Path settings;
  private final Path output;
  private final String name;
  private final int zone;
  final int callerPort;
  private final int readinessPort;
  private Process process;

  /** Writes the settings file of a node; {@link #start} starts its process. */
  Node(Path folder, String name, int zone, String storeAddress) throws IOException {
    this.name = name;
    this.zone = zone;
    settings = folder.resolve(name + ".json");
    output = folder.resolve(name + ".log");
    int[] ports = freePorts(3);
    callerPort = ports[0];
    readinessPort = ports[1];
    ObjectNode n =
        Http.object()
            .put("node-name", name)
            .put("role", "edge")
            .put("machine-class", "edge")
            .put("ip", "127.0.0.1")
            .put("zone", "nw-" + (char) ('a' + zone))
            .put("region", "north-west")
            .put("bootstrap", true)
            .put("discovery", "platform")
            .put("entry", "vip")
            .put("heartbeat-ms", 1_500)
            .put("control-mode", "push")
            .put("advice", storeAddress);
    n.putArray("serves").add("edge");
    n.putObject("listen-addrs")
        .put("frontend", "127.0.0.1:" + callerPort)
        .put("readiness", "127.0.0.1:" + readinessPort);
    n.putArray("port-range").add(ports[2]).add(ports[2]);
    n.putObject("limits")
        .put("cpu-share", 0.75)
        .put("cores", 1)
        .put("memory-mb", 430)
        .put("max-fds", 4_200)
        .put("link-mbps", 1_000.0)
        .put("disk-mb", 0);
    ObjectNode b = n.putObject("bounds");
    b.put("contact-ms", 3_000).put("ack-ms", 4_000).put("drain-ms", 2_000).put("grace-s", 6);
    b.put("config-apply-ms", 2_000).put("revoke-ms", 5_000).put("evacuate-ms", 5_000);
    b.put("hold-max-ms", Runner.HOLD_MAX_MILLIS).put("stop-ms", 900).put("gang-timeout-ms", 3_000);
    b.put("cancel_ms", 3_000).put("visible_ms", 3_000).put("early_ms", 250).put("finish_s", 14);
    b.put("status_s", 120).put("remote-factor", 3).put("checkpoint-interval-s", 2);
    b.put("lease-ms", 3_000).put("strict-revocation", true);
    n.putObject("platform")
        .put("address", storeAddress)
        .put("form", "kv")
        .put("writes-per-s", 400)
        .put("reads-per-s", 2_000)
        .put("history-s", 20)
        .put("value-bytes", Store.VALUE_BYTES)
        .put("ttl-min-ms", 1_000);
    Files.writeString(settings, n.toString());
  }

  private static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      sockets.add(new ServerSocket(0));
      ports[i] = sockets.get(i).getLocalPort();
    }
    for (ServerSocket s : sockets) {
      s.close();
    }
    return ports;
  }

  /** Starts the process with the words of {@code run} in the deploy file. */
  void start() throws IOException {
    String run = "";
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    ProcessBuilder b = new ProcessBuilder(run.split(" "));
    b.environment().put("DANDELIONPORT_BOOT", settings.toString());
    b.redirectErrorStream(true);
    b.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
    process = b.start();
    synchronized (STARTED) {
      STARTED.add(process);
    }
    Log.line("node " + name + " started, pid " + process.pid());
  }

  int zone() {
    return zone;
  }

  String name() {
    return name;
  }

  int readinessPort() {
    return readinessPort;
  }

  Path output() {
    return output;
  }

  /** Sends a signal to the process. */
  void signal(String signal) throws IOException, InterruptedException {
    Log.line("signal " + signal + " to node " + name);
    new ProcessBuilder("bash", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    if (signal.equals("KILL")) {
      process.waitFor();
    }
  }

  /** Kills all processes that were started. */
  static void killAll() {
    synchronized (STARTED) {
      STARTED.forEach(Process::destroyForcibly);
    }
  }
}
