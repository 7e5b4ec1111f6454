package dev.dandelionport.node.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerException;
import dev.dandelionport.standin.FreezingRelay;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests calls between instances over unresponsive, unauthorized and misbehaving connections. */
@Timeout(60)
class PeerConnectionTest {

  private static final Path TLS = Path.of("src/test/resources/tls");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<AutoCloseable> closeables = new ArrayList<>();
  @TempDir private Path folder;

  @AfterEach
  void closeAll() throws Exception {
    Collections.reverse(closeables);
    for (AutoCloseable c : closeables) {
      c.close();
    }
    group.shutdownGracefully();
  }

  private PeerServer server(
      TlsFiles tls, Function<PeerMessage, CompletableFuture<PeerMessage>> receiver) {
    PeerServer s = new PeerServer(group, "127.0.0.1", 0, "cell", tls, receiver);
    s.setInstance(new InstanceId("server"));
    closeables.add(s);
    return s;
  }

  private TcpPeerClient client(String cell, TlsFiles tls) {
    TcpPeerClient c = new TcpPeerClient(group, cell, new InstanceId("client"), tls);
    closeables.add(c);
    return c;
  }

  private static InstanceInfo instanceAt(String id, int port) {
    return new InstanceInfo(new InstanceId(id), "tallinn", "fd-a", "127.0.0.1", port);
  }

  private static PeerMessage statusCall(String requestKey) {
    return new PeerMessage.StatusCall(new JobKey(new TeamId("t"), requestKey), 0);
  }

  private static CompletableFuture<PeerMessage> echo(PeerMessage m) {
    String key = ((PeerMessage.StatusCall) m).job().requestKey();
    return CompletableFuture.completedFuture(
        new PeerMessage.JobAnswer(JobReply.of(Outcome.NOT_FOUND, key)));
  }

  private static String reason(PeerMessage m) {
    return ((PeerMessage.JobAnswer) m).reply().reason();
  }

  private static PeerException failure(CompletableFuture<PeerMessage> f) {
    Throwable e = catchThrowable(f::join);
    assertThat(e).isInstanceOf(CompletionException.class);
    return (PeerException) e.getCause();
  }

  @Test
  void answersOutOfOrderReachTheirOwnCallers() {
    // If responses were matched by order instead of id, callers would receive wrong responses.
    ConcurrentLinkedQueue<CompletableFuture<PeerMessage>> pendingAnswers =
        new ConcurrentLinkedQueue<>();
    ConcurrentLinkedQueue<PeerMessage> receivedCalls = new ConcurrentLinkedQueue<>();
    PeerServer s =
        server(
            null,
            m -> {
              CompletableFuture<PeerMessage> f = new CompletableFuture<>();
              receivedCalls.add(m);
              pendingAnswers.add(f);
              if (pendingAnswers.size() == 50) {
                List<CompletableFuture<PeerMessage>> futures = new ArrayList<>(pendingAnswers);
                List<PeerMessage> messages = new ArrayList<>(receivedCalls);
                for (int i = 49; i >= 0; i--) {
                  futures.get(i).complete(echo(messages.get(i)).join());
                }
              }
              return f;
            });
    TcpPeerClient c = client("cell", null);
    List<CompletableFuture<PeerMessage>> answers = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      answers.add(c.request(instanceAt("server", s.port()), statusCall("k" + i), 30_000));
    }
    for (int i = 0; i < 50; i++) {
      assertThat(reason(answers.get(i).join())).isEqualTo("k" + i);
    }
  }

  @Test
  void silentConnectionIsReplaced() {
    // Without a ping deadline, every later call waits for its full timeout.
    PeerServer s = server(null, PeerConnectionTest::echo);
    FreezingRelay relay = new FreezingRelay(s.port());
    closeables.add(relay);
    TcpPeerClient c = client("cell", null);
    InstanceInfo peer = instanceAt("server", relay.port());
    assertThat(reason(c.request(peer, statusCall("before"), 30_000).join())).isEqualTo("before");
    relay.freeze();
    assertThat(failure(c.request(peer, statusCall("lost"), 50_000)).mayHaveBeenReceived()).isTrue();
    assertThat(reason(c.request(peer, statusCall("after"), 30_000).join())).isEqualTo("after");
    assertThat(relay.accepted()).isEqualTo(2);
  }

  @Test
  void connectionToAnotherInstanceIsNotUsed() {
    // A new process at the same address must not receive messages for its predecessor.
    PeerServer s = server(null, PeerConnectionTest::echo);
    PeerException other =
        failure(client("cell", null).request(instanceAt("old", s.port()), statusCall("k"), 30_000));
    assertThat(other.mayHaveBeenReceived()).isFalse();
    PeerException foreign =
        failure(
            client("other-cell", null)
                .request(instanceAt("server", s.port()), statusCall("k"), 30_000));
    assertThat(foreign.mayHaveBeenReceived()).isFalse();
  }

  @Test
  void failingReceiverIsReportedAsUnknownEffect() {
    // Without a response to a failed call, the caller waits until the timeout.
    PeerServer s =
        server(
            null,
            m -> {
              throw new IllegalStateException("defect");
            });
    PeerException e =
        failure(
            client("cell", null).request(instanceAt("server", s.port()), statusCall("k"), 50_000));
    assertThat(e.mayHaveBeenReceived()).isTrue();
  }

  @Test
  void connectionsWithoutValidHelloAreClosed() throws IOException {
    // Connections that send invalid data or nothing would exhaust the connection limit.
    PeerServer s = server(null, PeerConnectionTest::echo);
    for (byte[] first :
        List.of(new byte[0], "GET / HTTP/1.1\r\n\r\n".getBytes(), new byte[] {0, 0, 127, 0, 1})) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), s.port())) {
        socket.getOutputStream().write(first);
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
      }
    }
  }

  @Test
  void connectionsBeyondTheLimitAreClosed() throws IOException {
    // Unlimited connections would exhaust the memory of a small instance.
    PeerServer s = server(null, PeerConnectionTest::echo);
    List<Socket> sockets = new ArrayList<>();
    int closedEarly = 0;
    for (int i = 0; i < PeerServer.MAX_CONNECTIONS + 20; i++) {
      sockets.add(new Socket(InetAddress.getLoopbackAddress(), s.port()));
    }
    for (Socket socket : sockets) {
      InputStream in = socket.getInputStream();
      closedEarly += in.read() == -1 ? 1 : 0;
      assertThat(s.connections()).isLessThanOrEqualTo(PeerServer.MAX_CONNECTIONS);
      socket.close();
    }
    assertThat(closedEarly).isEqualTo(sockets.size());
  }

  private static TlsFiles files(String name, String authority) {
    return new TlsFiles(
        TLS.resolve(name + ".pem"), TLS.resolve(name + ".key"), TLS.resolve(authority + "-ca.pem"));
  }

  @Test
  void tlsAcceptsOnlyCertificatesOfTheCell() {
    // A server that does not require a certificate would respond to anyone on the network.
    PeerServer s = server(files("cell", "cell"), PeerConnectionTest::echo);
    InstanceInfo peer = instanceAt("server", s.port());
    TcpPeerClient good = client("cell", files("cell", "cell"));
    assertThat(reason(good.request(peer, statusCall("tls"), 30_000).join())).isEqualTo("tls");
    TcpPeerClient foreign = client("cell", files("other", "cell"));
    assertThat(failure(foreign.request(peer, statusCall("k"), 30_000)).mayHaveBeenReceived())
        .isFalse();
    TcpPeerClient distrusting = client("cell", files("cell", "other"));
    assertThat(failure(distrusting.request(peer, statusCall("k"), 30_000)).mayHaveBeenReceived())
        .isFalse();
    TcpPeerClient plain = client("cell", null);
    assertThat(failure(plain.request(peer, statusCall("k"), 30_000)).mayHaveBeenReceived())
        .isFalse();
  }

  @Test
  void changedCertificatesAreUsedForNewConnections() throws IOException {
    // Without a reload, renewed certificates require a restart of every instance.
    TlsFiles serverFiles =
        new TlsFiles(folder.resolve("c.pem"), folder.resolve("c.key"), folder.resolve("ca.pem"));
    copy("other", serverFiles);
    PeerServer s = server(serverFiles, PeerConnectionTest::echo);
    InstanceInfo peer = instanceAt("server", s.port());
    TcpPeerClient cell = client("cell", files("cell", "cell"));
    assertThat(failure(cell.request(peer, statusCall("k"), 30_000)).mayHaveBeenReceived())
        .isFalse();
    copy("cell", serverFiles);
    assertThat(reason(cell.request(peer, statusCall("k"), 30_000).join())).isEqualTo("k");
  }

  private static void copy(String name, TlsFiles to) throws IOException {
    Files.write(to.certificateChain(), Files.readAllBytes(TLS.resolve(name + ".pem")));
    Files.write(to.privateKey(), Files.readAllBytes(TLS.resolve(name + ".key")));
    Files.write(to.trusted(), Files.readAllBytes(TLS.resolve(name + "-ca.pem")));
  }
}
