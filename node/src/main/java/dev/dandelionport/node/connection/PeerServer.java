package dev.dandelionport.node.connection;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.message.PeerMessage;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.ObjLongConsumer;

/** Accepts connections from peers and answers their calls. */
public final class PeerServer implements AutoCloseable {

  /**
   * Maximum number of connections. A cell has at most nine instances, but connections of replaced
   * instances may still be open.
   */
  static final int MAX_CONNECTIONS = 64;

  private final Channel channel;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final PeerTls tls;
  private final String cell;
  private final Function<PeerMessage, CompletableFuture<PeerMessage>> receiver;
  private volatile String instance = "";
  private volatile ObjLongConsumer<String> sentCounter = (kind, bytes) -> {};

  /** Binds the server without TLS. */
  public PeerServer(
      EventLoopGroup group,
      String host,
      int port,
      String cell,
      Function<PeerMessage, CompletableFuture<PeerMessage>> receiver) {
    this(group, host, port, cell, null, receiver);
  }

  /**
   * Binds the server.
   *
   * @param group event loops to run on
   * @param host address to listen on
   * @param port port to listen on, or 0 for any free port
   * @param cell name of the cell; connections from other cells are closed
   * @param tls files for mutual TLS, or null to disable TLS
   * @param receiver handles a call and returns the future of its response
   */
  public PeerServer(
      EventLoopGroup group,
      String host,
      int port,
      String cell,
      TlsFiles tls,
      Function<PeerMessage, CompletableFuture<PeerMessage>> receiver) {
    this.cell = cell;
    this.receiver = receiver;
    this.tls = tls == null ? null : new PeerTls(tls);
    this.channel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, TcpPeerClient.WRITE_BUFFER)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    accept(ch);
                  }
                })
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
  }

  /** Sets a consumer of the kind and length in bytes of each frame sent on new connections. */
  public void setSentFrameListener(ObjLongConsumer<String> counter) {
    sentCounter = counter;
  }

  private void accept(SocketChannel ch) {
    if (connections.size() >= MAX_CONNECTIONS) {
      ch.close();
      return;
    }
    connections.add(ch);
    if (tls != null) {
      ch.pipeline()
          .addLast(TcpPeerClient.withHandshakeTimeout(tls.server().newHandler(ch.alloc())));
    }
    Frame.Hello hello = new Frame.Hello(Frame.PROTOCOL_VERSION, cell, instance);
    ch.pipeline().addLast(new FrameCodec(sentCounter), new PeerServerHandler(hello, receiver));
  }

  /** Sets the instance id in the hello frame; callers that expect another instance disconnect. */
  public void setInstance(InstanceId id) {
    instance = id.value();
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Returns the number of open connections. */
  public int connections() {
    return connections.size();
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
    connections.close().syncUninterruptibly();
  }
}
