package dev.dandelionport.node.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a call counts as not received only if the peer did not receive it. */
@Timeout(60)
class ReceivedCallTest {

  /** Content of a call that fills the buffers of a connection that nobody reads. */
  private static final String LARGE = "x".repeat(FrameCodec.MAX_FRAME_BYTES - 500);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final TcpPeerClient client = new TcpPeerClient(group, "cell", new InstanceId("client"));
  private final List<PeerMessage> received = new CopyOnWriteArrayList<>();

  @AfterEach
  void close() {
    client.close();
    group.shutdownGracefully();
  }

  private static InstanceInfo serverAt(int port) {
    return new InstanceInfo(new InstanceId("server"), "tallinn", "fd-a", "127.0.0.1", port);
  }

  private static PeerMessage call(String requestKey) {
    return new PeerMessage.StatusCall(new JobKey(new TeamId("t"), requestKey), 0);
  }

  private static boolean mayHaveBeenReceived(CompletableFuture<PeerMessage> f) {
    CompletionException e = catchThrowableOfType(CompletionException.class, f::join);
    return ((PeerException) e.getCause()).mayHaveBeenReceived();
  }

  private PeerServer server() {
    PeerServer s =
        new PeerServer(
            group,
            "127.0.0.1",
            0,
            "cell",
            m -> {
              received.add(m);
              return new CompletableFuture<>();
            });
    s.setInstance(new InstanceId("server"));
    return s;
  }

  /** Runs a peer that answers the hello frame and then does something with its connection. */
  private static ServerSocket peer(BiConsumer<Socket, DataInputStream> afterHello)
      throws IOException {
    ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    Thread t =
        new Thread(
            () -> {
              try (Socket s = server.accept()) {
                DataInputStream in = new DataInputStream(s.getInputStream());
                in.readNBytes(in.readInt());
                s.getOutputStream().write(helloFrame());
                afterHello.accept(s, in);
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    t.setDaemon(true);
    t.start();
    return server;
  }

  private static byte[] helloFrame() {
    EmbeddedChannel c = new EmbeddedChannel(new FrameCodec());
    c.writeOutbound(Frame.hello(new Frame.Hello(Frame.PROTOCOL_VERSION, "cell", "server")));
    ByteBuf out = c.readOutbound();
    byte[] bytes = new byte[out.readableBytes()];
    out.readBytes(bytes);
    out.release();
    return bytes;
  }

  private static void read(DataInputStream in, int bytes) {
    try {
      in.readNBytes(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  // Guards against a frame that fails in the encoder after a part of it was sent.
  @Test
  void callThatCannotBeEncodedIsNotReceivedAndHarmsNoOther() {
    try (PeerServer s = server()) {
      String tooLarge = "x".repeat(FrameCodec.MAX_FRAME_BYTES);
      assertThat(mayHaveBeenReceived(client.request(serverAt(s.port()), call(tooLarge), 30_000)))
          .isFalse();
      assertThat(mayHaveBeenReceived(client.request(serverAt(s.port()), call("after"), 500)))
          .isTrue();
      assertThat(received).containsExactly(call("after"));
    }
  }

  // Guards against a call that an overloaded peer refuses and handles all the same.
  @Test
  void callsThatAnOverloadedPeerRefusesAreNotReceived() {
    EmbeddedChannel c =
        new EmbeddedChannel(
            new PeerServerHandler(
                new Frame.Hello(Frame.PROTOCOL_VERSION, "cell", "server"),
                m -> {
                  received.add(m);
                  return new CompletableFuture<>();
                }));
    c.writeInbound(Frame.hello(new Frame.Hello(Frame.PROTOCOL_VERSION, "cell", "client")));
    assertThat(((Frame) c.readOutbound()).kind()).isEqualTo(Frame.Kind.HELLO);
    for (int i = 0; i < PeerConnection.MAX_PENDING; i++) {
      c.writeInbound(new Frame(i, Frame.Kind.CALL, call("k" + i), null));
    }
    assertThat((Frame) c.readOutbound()).isNull();
    long last = PeerConnection.MAX_PENDING;
    c.writeInbound(new Frame(last, Frame.Kind.CALL, call("refused"), null));
    assertThat((Frame) c.readOutbound()).isEqualTo(Frame.of(last, Frame.Kind.REFUSED));
    assertThat(received).hasSize(PeerConnection.MAX_PENDING).doesNotContain(call("refused"));
  }

  // Guards against a call that counts as not received although its frame has left.
  @Test
  void callOnConnectionThatClosesAfterPartOfItsFrameMayHaveBeenReceived() throws IOException {
    try (ServerSocket s = peer((socket, in) -> read(in, 6))) {
      assertThat(mayHaveBeenReceived(client.request(serverAt(s.getLocalPort()), call("k"), 30_000)))
          .isTrue();
    }
  }

  // Guards against the same for calls that wait in the send buffer when the connection is reset.
  @Test
  void callsInTheSendBufferOfConnectionThatIsResetMayHaveBeenReceived() throws IOException {
    CompletableFuture<Void> ready = new CompletableFuture<>();
    CompletableFuture<Void> filled = new CompletableFuture<>();
    try (ServerSocket s =
        peer(
            (socket, in) -> {
              read(in, 6);
              ready.complete(null);
              filled.join();
            })) {
      client.request(serverAt(s.getLocalPort()), call("k"), 30_000);
      // Calls that wait for the same connection are sent in no certain order.
      ready.join();
      List<CompletableFuture<PeerMessage>> calls = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        calls.add(client.request(serverAt(s.getLocalPort()), call(i + LARGE), 30_000));
      }
      filled.complete(null);
      assertThat(mayHaveBeenReceived(calls.get(0))).isTrue();
      for (CompletableFuture<PeerMessage> c : calls) {
        assertThat(catchThrowableOfType(CompletionException.class, c::join)).isNotNull();
      }
    }
  }

  // Guards against a call that is sent after it has been reported as not received.
  @Test
  void callToPeerThatNeverIntroducesItselfIsNeverSent() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
      CompletableFuture<PeerMessage> answer =
          client.request(serverAt(s.getLocalPort()), call("k"), 30_000);
      try (Socket socket = s.accept()) {
        assertThat(mayHaveBeenReceived(answer)).isFalse();
        DataInputStream in = new DataInputStream(socket.getInputStream());
        in.readNBytes(in.readInt());
        assertThat(in.read()).isEqualTo(-1);
      }
    }
  }
}
