package dev.dandelionport.node.connection;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.SyncRequest;
import dev.dandelionport.core.port.WorkerInfo;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class HttpWorkerClientTest {

  private static final String ANSWER =
      "{\"incarnation\":\"i\",\"workerClockMillis\":5,\"running\":[],\"finished\":[],"
          + "\"usage\":{},\"leaving\":false}";

  private static final PartitionId PARTITION = new PartitionId("tallinn", 1);

  /** Guards against new headers or fields that enlarge the most frequent request. */
  @Test
  void syncWithIdleWorkerTakesFewBytes() throws Exception {
    String sent = exchange(new SyncRequest(PARTITION, 3, 0, 0, 0, 60_000, List.of()));
    assertThat(sent).hasSizeLessThanOrEqualTo(175);
    assertThat(body(sent))
        .isEqualTo("{\"partition\":\"tallinn-1\",\"epoch\":3,\"waitMillis\":60000}");
  }

  /** Guards against an encoding that omits a field although it has a value. */
  @Test
  void syncCarriesEveryFieldThatIsSet() throws Exception {
    AttemptId a = new AttemptId(new JobKey(new TeamId("t"), "k"), 0, 1);
    SyncRequest q = new SyncRequest(PARTITION, 3, 7, 8, 9, 10, List.of(a));
    assertThat(new ObjectMapper().readValue(body(exchange(q)), SyncRequest.class)).isEqualTo(q);
  }

  private static String body(String request) {
    return request.substring(request.indexOf("\r\n\r\n") + 4);
  }

  /** Sends a sync request to a socket that responds once, and returns the received request. */
  private static String exchange(SyncRequest q) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      CompletableFuture<String> received = CompletableFuture.supplyAsync(() -> answer(server));
      WorkerInfo w =
          new WorkerInfo(
              new WorkerId("w"),
              "tallinn",
              "tallinn-a",
              "rack",
              "127.0.0.1",
              server.getLocalPort(),
              ResourceVector.ZERO,
              false);
      SyncReply r = new HttpWorkerClient().sync(w, q).join();
      assertThat(r.incarnation()).isEqualTo("i");
      return received.join();
    }
  }

  private static String answer(ServerSocket server) {
    try (Socket s = server.accept()) {
      InputStream in = s.getInputStream();
      StringBuilder request = new StringBuilder();
      byte[] buffer = new byte[4_096];
      while (!isComplete(request.toString())) {
        int n = in.read(buffer);
        request.append(new String(buffer, 0, n, StandardCharsets.US_ASCII));
      }
      String head =
          "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
              + ANSWER.length()
              + "\r\n\r\n";
      s.getOutputStream().write((head + ANSWER).getBytes(StandardCharsets.US_ASCII));
      return request.toString();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean isComplete(String request) {
    int end = request.indexOf("\r\n\r\n");
    int length = request.indexOf("content-length: ");
    return end > 0
        && length > 0
        && request.length() - end - 4
            >= Integer.parseInt(request.substring(length + 16, request.indexOf("\r\n", length)));
  }
}
