package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Helpers for HTTP servers on loopback addresses. */
final class Http {

  private static final ExecutorService EXECUTOR =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
          });

  static {
    // Without this, each answer of the JDK's server waits for a delayed acknowledgement.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
  }

  private Http() {}

  /** Starts a server; port 0 selects a free one. */
  static HttpServer serve(int port, HttpHandler handler) throws IOException {
    HttpServer s = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
    s.createContext("/", handler);
    s.setExecutor(EXECUTOR);
    s.start();
    return s;
  }

  static String body(HttpExchange x) throws IOException {
    return new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
  }

  static void answer(HttpExchange x, int status, Map<String, Object> body) throws IOException {
    byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
    x.getResponseHeaders().add("Content-Type", "application/json");
    x.sendResponseHeaders(status, bytes.length);
    x.getResponseBody().write(bytes);
    x.close();
  }

  static Map<String, String> query(HttpExchange x) {
    Map<String, String> q = new HashMap<>();
    String raw = x.getRequestURI().getRawQuery();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int i = part.indexOf('=');
      if (i > 0) {
        q.put(
            part.substring(0, i),
            URLDecoder.decode(part.substring(i + 1), StandardCharsets.UTF_8));
      }
    }
    return q;
  }
}
