import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** A small HTTP server of a stand-in, with JSON bodies, on a free port of the loopback address. */
final class Http {

  static final ObjectMapper JSON = new ObjectMapper();

  /** An answer; null means that the connection is closed without one. */
  record Answer(int status, JsonNode body) {
    static Answer of(int status) {
      return new Answer(status, JSON.createObjectNode());
    }
  }

  /** A request. */
  record Request(
      String method,
      String path,
      Map<String, String> query,
      Map<String, String> headers,
      JsonNode body) {}

  /** Answers requests; called on a thread of its own for each request. */
  interface Handler {
    Answer handle(Request r) throws InterruptedException;
  }

  final int port;
  private final HttpServer server;

  Http(Handler handler) throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1_024);
    server.setExecutor(
        Executors.newCachedThreadPool(
            r -> {
              Thread t = new Thread(r);
              t.setDaemon(true);
              return t;
            }));
    server.createContext("/", x -> serve(x, handler));
    server.start();
    port = server.getAddress().getPort();
  }

  /** Closes all connections and refuses new ones. */
  void stop() {
    server.stop(0);
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  private static void serve(HttpExchange x, Handler handler) throws IOException {
    try {
      byte[] bytes = x.getRequestBody().readAllBytes();
      JsonNode body = bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
      Map<String, String> headers = new HashMap<>();
      x.getRequestHeaders().forEach((k, v) -> headers.put(k.toLowerCase(), v.get(0)));
      Request r =
          new Request(
              x.getRequestMethod(),
              x.getRequestURI().getPath(),
              query(x.getRequestURI().getRawQuery()),
              headers,
              body);
      Answer a = handler.handle(r);
      if (a != null) {
        byte[] out = JSON.writeValueAsBytes(a.body());
        x.getResponseHeaders().add("Content-Type", "application/json");
        x.sendResponseHeaders(a.status(), out.length);
        x.getResponseBody().write(out);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      x.close();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> q = new HashMap<>();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int i = part.indexOf('=');
      q.put(part.substring(0, i), URLDecoder.decode(part.substring(i + 1), StandardCharsets.UTF_8));
    }
    return q;
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }
}
