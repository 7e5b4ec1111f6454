package dev.dandelionport.node.connection;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a history that no instance on a slow link can read: a page took longer than the
 * timeout of a call, so every attempt failed and the workflows stayed without an owner.
 */
class LargeResponseTest {

  private static final int PARTS = 8;
  private static final long PART_INTERVAL_MILLIS = 500;

  /** Less than the whole response takes, more than the time between two of its parts. */
  private static final long IDLE_TIMEOUT_MILLIS = 3_000;

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private HttpServer server;

  @BeforeEach
  void startServer() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext("/page", LargeResponseTest::respondSlowly);
    server.createContext("/silent", x -> {});
    server.setExecutor(executor);
    server.start();
  }

  @AfterEach
  void stopServer() {
    server.stop(0);
    executor.shutdownNow();
  }

  @Test
  void responseThatTakesLongerThanTheTimeoutIsReadWhileItMakesProgress() {
    try (HttpPool pool = pool()) {
      assertThat(
              pool.sendForLargeResponse(c -> c.prepare().get("/page"), IDLE_TIMEOUT_MILLIS)
                  .join()
                  .contentUtf8())
          .hasSize(PARTS);
    }
  }

  @Test
  void responseWithoutAnyPartFails() {
    try (HttpPool pool = pool()) {
      assertThat(pool.sendForLargeResponse(c -> c.prepare().get("/silent"), 300))
          .failsWithin(20, TimeUnit.SECONDS);
    }
  }

  private HttpPool pool() {
    return new HttpPool("http://127.0.0.1:" + server.getAddress().getPort(), 1 << 20, false, null);
  }

  private static void respondSlowly(HttpExchange x) throws IOException {
    x.sendResponseHeaders(200, PARTS);
    try (OutputStream out = x.getResponseBody()) {
      for (int i = 0; i < PARTS; i++) {
        Thread.sleep(PART_INTERVAL_MILLIS);
        out.write('x');
        out.flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
