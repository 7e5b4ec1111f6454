package dev.dandelionport.node.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.port.InstanceListException;
import dev.dandelionport.core.port.StartCommand;
import dev.dandelionport.core.port.StartReply;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.SyncRequest;
import dev.dandelionport.core.port.WorkerException;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.standin.FreezingRelay;
import dev.dandelionport.standin.Platform;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the clients of workers and of the instance list against injected faults. */
@Timeout(120)
class PlatformClientsTest {

  private static final AttemptId ATTEMPT = AttemptId.parse("team/job#0.1");
  private static final PartitionId PARTITION = new PartitionId("r1", 0);
  private static final long FAR_FUTURE_MILLIS = Long.MAX_VALUE / 2;

  private final HttpWorkerClient workers = new HttpWorkerClient();
  private Platform platform;
  private int port;
  private HttpInstanceList list;

  @BeforeEach
  void startPlatform() {
    platform =
        new Platform(
            "127.0.0.1",
            0,
            new Platform.Fleet("r1", List.of("fd-a"), 2, 2, Platform.Fleet.DEFAULT_CAPACITY));
    port = platform.start();
    list = new HttpInstanceList(url(port));
  }

  @AfterEach
  void stopPlatform() {
    platform.close();
  }

  private static String url(int port) {
    return "http://127.0.0.1:" + port;
  }

  private void setFaults(String json) {
    WebClient.of(url(port)).post("/standin/faults", json).aggregate().join();
  }

  private WorkerInfo worker() {
    return list.workers("r1").join().get(0);
  }

  private static WorkerInfo workerAt(int port) {
    return new WorkerInfo(
        new WorkerId("w"), "r1", "fd-a", "rack-1", "127.0.0.1", port, ResourceVector.ZERO, false);
  }

  private CompletableFuture<SyncReply> sync(WorkerInfo w, long epoch, long waitMillis) {
    return workers.sync(
        w, new SyncRequest(PARTITION, epoch, 0, FAR_FUTURE_MILLIS, 60_000, waitMillis, List.of()));
  }

  private CompletableFuture<StartReply> startTask(WorkerInfo w, String incarnation, long epoch) {
    ResourceVector size = new ResourceVector(1, 0, 100, 10, 0);
    return workers.start(
        w,
        new StartCommand(
            ATTEMPT,
            PARTITION,
            epoch,
            incarnation,
            FAR_FUTURE_MILLIS,
            60_000,
            size,
            "run=600000",
            null));
  }

  private static void assertNoAnswer(CompletableFuture<?> call, String as) {
    assertThatThrownBy(call::join).as(as).hasCauseInstanceOf(WorkerException.class);
  }

  private void assertAllFail(WorkerInfo w, String as) {
    assertNoAnswer(startTask(w, "i", 1), as);
    assertNoAnswer(sync(w, 1, 0), as);
  }

  /** Guards against an encoding of commands that the worker cannot decode. */
  @Test
  void ordersReachTheWorker() {
    WorkerInfo w = worker();
    SyncReply idle = sync(w, 3, 0).join();
    assertThat(startTask(w, "another", 3).join().reason()).isEqualTo("other incarnation");
    assertThat(startTask(w, idle.incarnation(), 2).join().reason())
        .isEqualTo("epoch is out of date");
    assertThat(startTask(w, idle.incarnation(), 3).join().accepted()).isTrue();
    SyncReply busy = sync(w, 3, 0).join();
    assertThat(busy.running())
        .singleElement()
        .satisfies(r -> assertThat(r.attempt()).isEqualTo(ATTEMPT));
    workers.throttle(w, ATTEMPT, 3, 50).join();
    CompletableFuture<SyncReply> waiting = sync(w, 3, 60_000);
    workers.checkpoint(w, ATTEMPT, 3).join();
    assertThat(waiting.join().finished())
        .singleElement()
        .satisfies(f -> assertThat(f.outcome().name()).isEqualTo("CHECKPOINTED"));
    workers.stop(w, ATTEMPT, 3).join();
  }

  /** Guards against calls without a timeout: an unresponsive worker would block its owner. */
  @Test
  void callsToSilentWorkerFail() {
    WorkerInfo w = worker();
    setFaults("{\"workers\":{\"" + w.id() + "\":{\"silent\":true}}}");
    assertAllFail(w, "silent");
    assertNoAnswer(workers.stop(w, ATTEMPT, 1), "silent");
    setFaults("{\"workers\":{\"" + w.id() + "\":{\"silent\":false}}}");
    assertThat(sync(w, 1, 0).join().running()).isEmpty();
  }

  /** Guards against a client that sends later calls over an unresponsive connection. */
  @Test
  void silentConnectionIsNotUsedAgain() {
    try (FreezingRelay relay = new FreezingRelay(worker().port())) {
      WorkerInfo w = workerAt(relay.port());
      assertThat(sync(w, 1, 0).join().running()).isEmpty();
      relay.freeze();
      assertNoAnswer(sync(w, 1, 0), "frozen");
      assertThat(sync(w, 1, 0).join().running()).isEmpty();
    }
    try (FreezingRelay relay = new FreezingRelay(port)) {
      HttpInstanceList other = new HttpInstanceList(url(relay.port()));
      assertThat(other.workers("r1").join()).hasSize(2);
      relay.freeze();
      assertThatThrownBy(() -> other.workers("r1").join())
          .hasCauseInstanceOf(InstanceListException.class);
      assertThat(other.workers("r1").join()).hasSize(2);
    }
  }

  /** Guards against a refused connection that is reported as a different error. */
  @Test
  void callsToAbsentServiceFail() {
    assertAllFail(workerAt(1), "absent");
    assertThatThrownBy(() -> new HttpInstanceList(url(1)).workers("r1").join())
        .hasCauseInstanceOf(InstanceListException.class);
  }

  /** Guards against malformed responses that are interpreted as a refusal or an idle worker. */
  @Test
  void brokenAnswersGiveErrors() {
    AtomicReference<HttpResponse> answer = new AtomicReference<>();
    Server broken = Server.builder().service("prefix:/", (c, r) -> answer.get()).build();
    broken.start().join();
    WorkerInfo w = workerAt(broken.activeLocalPort());
    HttpInstanceList l = new HttpInstanceList(url(broken.activeLocalPort()));
    String[] texts = {
      "", "null", "[", "nonsense", "{}", "[]", "{\"accepted\":1}", "{\"incarnation\":\"i\"}"
    };
    for (String text : texts) {
      answer.set(HttpResponse.of(MediaType.JSON, text));
      assertNoAnswer(startTask(w, "i", 1), "start " + text);
      answer.set(HttpResponse.of(MediaType.JSON, text));
      assertNoAnswer(sync(w, 1, 0), "sync " + text);
    }
    for (String text : List.of("", "null", "[", "{}", "[null]", "[{}]", "[{\"id\":\"w\"}]")) {
      answer.set(HttpResponse.of(MediaType.JSON, text));
      assertThatThrownBy(() -> l.workers("r1").join())
          .as("list " + text)
          .hasCauseInstanceOf(InstanceListException.class);
    }
    answer.set(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE));
    assertNoAnswer(sync(w, 1, 0), "status 503");
    answer.set(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE));
    assertThatThrownBy(() -> l.workers("r1").join())
        .hasCauseInstanceOf(InstanceListException.class);
    broken.stop().join();
  }

  /** Guards against responses of unbounded size that exhaust the memory of the instance. */
  @Test
  void oversizedAnswersAreNotRead() {
    String text = "[" + " ".repeat(9 << 20) + "]";
    Server large =
        Server.builder()
            .service("prefix:/", (c, r) -> HttpResponse.of(MediaType.JSON, text))
            .build();
    large.start().join();
    assertAllFail(workerAt(large.activeLocalPort()), "oversized");
    HttpInstanceList l = new HttpInstanceList(url(large.activeLocalPort()));
    assertThatThrownBy(() -> l.workers("r1").join())
        .hasCauseInstanceOf(InstanceListException.class);
    large.stop().join();
  }

  /** Guards against a truncated response that is accepted as complete. */
  @Test
  void truncatedAnswersAreErrors() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread t = new Thread(() -> serveTruncated(s), "truncated answers");
      t.setDaemon(true);
      t.start();
      assertAllFail(workerAt(s.getLocalPort()), "truncated");
      HttpInstanceList l = new HttpInstanceList(url(s.getLocalPort()));
      assertThatThrownBy(() -> l.workers("r1").join())
          .hasCauseInstanceOf(InstanceListException.class);
    }
  }

  /** Sends complete JSON in a response that is shorter than its declared length. */
  private static void serveTruncated(ServerSocket s) {
    byte[] answer =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 9000\r\n\r\n[]"
            .getBytes(StandardCharsets.US_ASCII);
    while (!s.isClosed()) {
      try (Socket c = s.accept()) {
        if (c.getInputStream().read(new byte[4_096]) > 0) {
          c.getOutputStream().write(answer);
          c.getOutputStream().flush();
        }
        c.shutdownOutput();
      } catch (IOException e) {
        // The client closed the connection, or the test has ended.
        Thread.yield();
      }
    }
  }
}
