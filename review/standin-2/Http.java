package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A JSON server on a loopback port. */
final class Http {

  static final ObjectMapper JSON = new ObjectMapper();

  record Reply(int status, ObjectNode body) {}

  interface Handler {
    /** Returns the reply; null closes the connection without one. */
    Reply handle(HttpExchange x, JsonNode body) throws Exception;
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();

  Http(int port, Handler h) throws Exception {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
    server.setExecutor(threads);
    server.createContext("/", x -> serve(x, h));
    server.start();
  }

  private static void serve(HttpExchange x, Handler h) throws java.io.IOException {
    try {
      byte[] in = x.getRequestBody().readAllBytes();
      Reply r = h.handle(x, in.length == 0 ? object() : JSON.readTree(in));
      if (r == null) {
        x.close();
        return;
      }
      byte[] out = JSON.writeValueAsBytes(r.body());
      x.getResponseHeaders().set("Content-Type", "application/json");
      x.sendResponseHeaders(r.status(), out.length);
      x.getResponseBody().write(out);
    } catch (Exception e) {
      // The caller has gone, or the server is being closed.
    } finally {
      x.close();
    }
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Closes the port and all connections, as the end of a process does. */
  void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  static Reply reply(int status, ObjectNode body) {
    return new Reply(status, body);
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  static Map<String, String> query(HttpExchange x) {
    Map<String, String> q = new HashMap<>();
    String text = x.getRequestURI().getRawQuery();
    for (String p : text == null ? new String[0] : text.split("&")) {
      int i = p.indexOf('=');
      q.put(p.substring(0, i), URLDecoder.decode(p.substring(i + 1), StandardCharsets.UTF_8));
    }
    return q;
  }
}
