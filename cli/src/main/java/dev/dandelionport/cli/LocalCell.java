package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.dandelionport.node.process.Node;
import dev.dandelionport.node.process.Settings;
import dev.dandelionport.node.process.Settings.OperatorKey;
import dev.dandelionport.standin.Platform;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs a stand-in platform and instances in this process, with new keys and a first manifest. */
final class LocalCell implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final String REGION = "local";
  private static final List<String> DOMAINS = List.of("fd-a", "fd-b", "fd-c");
  private static final int WORKERS_PER_RACK = 2;
  private static final int CALLER_PORT_OFFSET = 100;
  private static final int PEER_PORT_OFFSET = 200;

  private final Path folder;
  private final int port;
  private final Platform platform;
  private final String platformUrl;
  private final List<Node> nodes = new ArrayList<>();

  /**
   * Starts the platform and the instances, and writes the key files and the manifest.
   *
   * @param folder folder for the key files and the manifest
   * @param port first port of the platform, or 0 to use free ports
   * @param instances number of instances
   * @param workers number of workers
   */
  LocalCell(Path folder, int port, int instances, int workers) throws IOException {
    this.folder = Files.createDirectories(folder);
    this.port = port;
    Platform.Fleet fleet =
        new Platform.Fleet(
            REGION, DOMAINS, workers, WORKERS_PER_RACK, Platform.Fleet.DEFAULT_CAPACITY);
    platform = new Platform(HOST, port, fleet);
    platformUrl = "http://" + HOST + ":" + platform.start();
    ObjectNode operator = newKey("operator");
    for (int i = 1; i <= instances; i++) {
      Node n = new Node(settings(i, operator));
      n.start().join();
      nodes.add(n);
    }
    writeManifest();
  }

  /** Commits the first manifest. */
  void commitManifest() throws IOException {
    new ApiClient(urls(), Files.readString(keyFile("operator")).trim(), null)
        .call("PUT", "/v1/operator/manifest", Files.readAllBytes(manifestFile()))
        .bodyOrThrow();
  }

  List<String> urls() {
    return nodes.stream().map(n -> "http://" + HOST + ":" + n.callerPort()).toList();
  }

  Path keyFile(String id) {
    return folder.resolve(id + ".key");
  }

  Path manifestFile() {
    return folder.resolve("manifest.json");
  }

  private Settings settings(int i, ObjectNode operator) {
    OperatorKey key =
        new OperatorKey(
            operator.get("id").asText(),
            operator.get("salt").asText(),
            operator.get("hash").asText());
    return new Settings(
        "local",
        "entry-" + i,
        REGION,
        DOMAINS.get((i - 1) % DOMAINS.size()),
        HOST,
        port == 0 ? 0 : port + CALLER_PORT_OFFSET + i,
        port == 0 ? 0 : port + PEER_PORT_OFFSET + i,
        platformUrl,
        platformUrl,
        List.of(key));
  }

  private ObjectNode newKey(String id) throws IOException {
    String secret = KeyCommand.randomHex(24);
    Files.writeString(keyFile(id), id + "." + secret + "\n");
    return KeyCommand.keyEntry(id, secret);
  }

  private void writeManifest() throws IOException {
    ObjectNode m = ApiClient.JSON.createObjectNode().put("version", 1).put("cell", "local");
    m.putArray("regions").addObject().put("id", REGION).put("partitions", 2);
    for (String d : DOMAINS) {
      m.withArray("failureDomains")
          .addObject()
          .put("id", d)
          .put("region", REGION)
          .put("inService", true);
    }
    for (String id : List.of("bakery", "dryers")) {
      m.withArray("clientAccounts").addObject().put("id", id).put("name", id);
      ObjectNode t = m.withArray("teams").addObject().put("id", id).put("clientAccount", id);
      t.put("homeRegion", REGION).put("share", 1).put("limit", 64).put("admissionPerSecond", 500);
      t.putArray("keys").add(newKey(id));
    }
    m.putArray("queues")
        .addObject()
        .put("id", "fault-reports")
        .put("team", "dryers")
        .put("open", true)
        .put("defaultClass", "urgent")
        .put("tokenKey", KeyCommand.randomHex(32));
    Files.writeString(manifestFile(), m.toPrettyString() + "\n");
  }

  @Override
  public void close() {
    nodes.stream().map(Node::stop).toList().forEach(f -> f.handle((v, e) -> null).join());
    platform.close();
  }
}
