package dev.dandelionport.node.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Sends randomly damaged requests and checks that the server neither fails, hangs nor crashes. */
class HttpFuzzTest {

  private static final RequestLimits LIMITS =
      new RequestLimits(8 << 10, 2_048, 4_096, 100, 60_000, 500, 50, 50, 1 << 20);
  private static final String[] PATHS = {
    "/v1/jobs",
    "/v1/jobs/a",
    "/v1/jobs/",
    "/v1/jobs/%00",
    "/v1/jobs/%ff%fe",
    "/v1/jobs/a/b",
    "/v1/jobs/a?waitMillis=%zz",
    "/v1/jobs/a?queue=front",
    "/v1/jobs?x=1",
    "//v1/jobs",
    "/",
    "/v1/operator/manifest",
    "/v1/operator/manifest/check",
    "/v1/operator/manifest/diff",
    "/v1/operator/failure-domains/fd-a/drain",
    "/v1/operator/jobs/a/b",
    "/v1/operator/jobs/a/%0a",
    "/v1/operator/",
    "/v1/operator/status",
    "/../etc",
    "*"
  };
  private static final String[] METHODS = {"GET", "POST", "PUT", "DELETE", "HEAD", "PATCH", "BREW"};
  private static final String[] MALFORMED_FRAGMENTS = {
    "null", "[]", "{}", "-1", "1e400", "99999999999999999999", "\"\\ud800\"", "[[[[", "\"\"", "true"
  };

  /** Number of requests after which all classes are loaded and all buffers allocated. */
  private static final int WARM_UP_REQUESTS = 500;

  /** Allowed memory growth in 1,500 requests; a leak of one 8 KB buffer per request is 12 MB. */
  private static final long MAX_GROWTH_BYTES = 8 << 20;

  private static HttpTestCell cell;

  @BeforeAll
  static void start() throws Exception {
    cell = new HttpTestCell(LIMITS);
  }

  @AfterAll
  static void stop() {
    cell.close();
  }

  private static String body(Random random) {
    String validBody =
        random.nextBoolean()
            ? HttpTestCell.manifest(2, 5)
            : "{\"requestKey\":\"f\",\"workloadClass\":\"urgent\",\"deadlineMillis\":5,"
                + "\"repeatable\":true,\"queue\":\"front\",\"tasks\":1,\"payload\":\"x\"}";
    StringBuilder s = new StringBuilder(validBody);
    for (int k = random.nextInt(3); k > 0; k--) {
      int position = random.nextInt(s.length());
      if (random.nextBoolean()) {
        s.setCharAt(position, (char) random.nextInt(128));
      } else {
        s.replace(
            position,
            Math.min(s.length(), position + random.nextInt(6)),
            MALFORMED_FRAGMENTS[random.nextInt(MALFORMED_FRAGMENTS.length)]);
      }
    }
    return random.nextInt(10) == 0 ? s.substring(0, random.nextInt(s.length())) : s.toString();
  }

  private static byte[] request(Random random) {
    String body = body(random);
    int length = body.getBytes(StandardCharsets.UTF_8).length;
    String key = random.nextBoolean() ? HttpTestCell.OPERATOR : HttpTestCell.TEAM_A;
    String head =
        METHODS[random.nextInt(METHODS.length)]
            + " "
            + PATHS[random.nextInt(PATHS.length)]
            + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: "
            + (random.nextInt(5) == 0 ? "Bearer" : "Bearer " + key)
            + "\r\nContent-Length: "
            + (random.nextInt(50) == 0 ? -random.nextInt(100) : length)
            + "\r\n\r\n";
    byte[] bytes = (head + body).getBytes(StandardCharsets.UTF_8);
    if (random.nextInt(4) == 0) {
      bytes[random.nextInt(head.length())] = (byte) random.nextInt(256);
    }
    return bytes;
  }

  private static String send(byte[] request) throws IOException {
    try (Socket s = new Socket("127.0.0.1", cell.port())) {
      s.setSoTimeout(10_000);
      s.getOutputStream().write(request);
      s.getOutputStream().flush();
      s.shutdownOutput();
      ByteArrayOutputStream answer = new ByteArrayOutputStream();
      InputStream in = s.getInputStream();
      byte[] buffer = new byte[4_096];
      for (int n = in.read(buffer); n > 0; n = in.read(buffer)) {
        answer.write(buffer, 0, n);
      }
      return answer.toString(StandardCharsets.UTF_8);
    } catch (java.net.SocketTimeoutException e) {
      throw new AssertionError("no answer within 10 s", e);
    } catch (java.net.SocketException e) {
      return "";
    }
  }

  /** Returns the heap and direct buffers in use after a garbage collection, in bytes. */
  private static long usedBytes() {
    System.gc();
    long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    return heap
        + ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
            .mapToLong(BufferPoolMXBean::getMemoryUsed)
            .sum();
  }

  /**
   * Guards against malformed input that no other test covers: damaged JSON, paths, headers and
   * lengths must not cause a status 500, a hang, a crash or a memory leak in the server.
   */
  @Test
  void damagedRequestsNeverGiveStatus500() throws IOException {
    Random random = new Random(26);
    int answered = 0;
    long usedBefore = 0;
    for (int i = 0; i < 2_000; i++) {
      if (i == WARM_UP_REQUESTS) {
        usedBefore = usedBytes();
      }
      byte[] request = request(random);
      String answer = send(request);
      String requestText = new String(request, StandardCharsets.ISO_8859_1);
      assertThat(answer).as("request %d: %s", i, requestText).doesNotStartWith("HTTP/1.1 500");
      answered += answer.startsWith("HTTP/1.1 ") ? 1 : 0;
    }
    assertThat(answered).isGreaterThan(1_500);
    assertThat(usedBytes() - usedBefore).isLessThan(MAX_GROWTH_BYTES);
    assertThat(cell.call(HttpMethod.GET, "/v1/jobs/none", HttpTestCell.TEAM_A, "").status())
        .isEqualTo(404);
  }
}
