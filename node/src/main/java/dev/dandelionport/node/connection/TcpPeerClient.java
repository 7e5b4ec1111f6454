package dev.dandelionport.node.connection;

import dev.dandelionport.core.common.ConnectionTable;
import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerClient;
import dev.dandelionport.core.port.PeerException;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslHandler;
import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.function.ObjLongConsumer;

/** Peer client that keeps one TCP connection per peer and reconnects after a failure. */
public final class TcpPeerClient implements PeerClient, AutoCloseable {

  /**
   * Limits of the unsent bytes of a connection. Calls fail from the time the upper limit is
   * exceeded until the lower one is reached.
   */
  static final WriteBufferWaterMark WRITE_BUFFER = new WriteBufferWaterMark(256 << 10, 1 << 20);

  /** Connect timeout, in milliseconds. */
  private static final int CONNECT_MILLIS = 500;

  private final EventLoopGroup group;
  private final Frame.Hello hello;
  private final PeerTls tls;
  private volatile ObjLongConsumer<String> sentCounter = (kind, bytes) -> {};
  private final ConnectionTable<InstanceId, PeerConnection> connections =
      new ConnectionTable<>(PeerConnection::isOpen);

  /** Creates a client that identifies itself as {@code self} of {@code cell}, without TLS. */
  public TcpPeerClient(EventLoopGroup group, String cell, InstanceId self) {
    this(group, cell, self, null);
  }

  /** Creates a client; {@code tls} is null for connections without TLS. */
  public TcpPeerClient(EventLoopGroup group, String cell, InstanceId self, TlsFiles tls) {
    this.group = group;
    this.hello = new Frame.Hello(Frame.PROTOCOL_VERSION, cell, self.value());
    this.tls = tls == null ? null : new PeerTls(tls);
  }

  /** Sets a consumer of the kind and length in bytes of each frame sent on new connections. */
  public void setSentFrameListener(ObjLongConsumer<String> counter) {
    sentCounter = counter;
  }

  @Override
  public CompletableFuture<PeerMessage> request(
      InstanceInfo peer, PeerMessage message, long timeoutMillis) {
    return connections
        .get(peer.id(), id -> open(peer))
        .thenCompose(c -> c.call(message, timeoutMillis));
  }

  private CompletableFuture<PeerConnection> open(InstanceInfo peer) {
    PeerConnection c = new PeerConnection(hello, peer.id().value());
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                if (tls != null) {
                  ch.pipeline().addLast(withHandshakeTimeout(tls.client().newHandler(ch.alloc())));
                }
                ch.pipeline().addLast(new FrameCodec(sentCounter), c);
              }
            })
        .connect(peer.host(), peer.port())
        .addListener(
            f -> {
              if (!f.isSuccess()) {
                c.ready().completeExceptionally(connectFailure(peer, f.cause()));
                connections.removeClosed(peer.id());
              }
            })
        .channel()
        .closeFuture()
        .addListener(f -> connections.removeClosed(peer.id()));
    return c.ready();
  }

  private static PeerException connectFailure(InstanceInfo peer, Throwable cause) {
    String text = "cannot connect to " + peer.id();
    // A refused connection means that the peer process has ended; a timeout proves nothing.
    boolean processEnded =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    return processEnded
        ? PeerException.processEnded(text, cause)
        : new PeerException(text, false, cause);
  }

  /** Returns the number of connections that are open or being opened. */
  public int connections() {
    return connections.size();
  }

  @Override
  public void close() {
    connections.all().forEach(f -> f.thenAccept(PeerConnection::close));
  }

  /** Applies the hello timeout to the TLS handshake, on both sides of a connection. */
  static SslHandler withHandshakeTimeout(SslHandler handler) {
    handler.setHandshakeTimeoutMillis(PeerConnection.HELLO_MILLIS);
    return handler;
  }
}
