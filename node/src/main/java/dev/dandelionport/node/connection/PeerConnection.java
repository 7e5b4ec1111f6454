package dev.dandelionport.node.connection;

import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.PeerException;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.EncoderException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Client side of one connection to a peer. It becomes ready when the peer's hello frame has
 * arrived. Responses are matched to calls by id. If nothing arrives after a ping, the connection is
 * closed and its pending calls fail.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Frame> {

  /** Interval of liveness checks in milliseconds; an unresponsive connection fails after two. */
  static final long PING_MILLIS = 700;

  /** Time within which the hello frame of the peer must arrive, in milliseconds. */
  static final long HELLO_MILLIS = 1_000;

  /** Time without calls after which a connection is closed, in milliseconds. */
  private static final long IDLE_MILLIS = 60_000;

  /**
   * Time without calls, in milliseconds, after which pings keep the connection open; the peer
   * closes a connection without traffic after 10 s.
   */
  private static final long PING_IDLE_MILLIS = 5_000;

  /** Maximum number of calls pending on one connection. */
  static final int MAX_PENDING = 10_000;

  private record Call(CompletableFuture<PeerMessage> answer, Future<?> timeout) {}

  private final Frame.Hello self;
  private final String peer;
  private final CompletableFuture<PeerConnection> ready = new CompletableFuture<>();
  private final Map<Long, Call> pending = new ConcurrentHashMap<>();
  private final AtomicInteger pendingCount = new AtomicInteger();
  private final AtomicLong nextId = new AtomicLong(1);
  private volatile Channel channel;
  private volatile boolean closed;
  private volatile long lastCallNanos = System.nanoTime();
  private boolean frameReceived = true;
  private boolean pingPending;

  /** Creates a connection to {@code peer}; fails if another instance responds at its address. */
  PeerConnection(Frame.Hello self, String peer) {
    this.self = self;
    this.peer = peer;
  }

  /** Returns a future that completes when calls can be sent; if it fails, none was sent. */
  CompletableFuture<PeerConnection> ready() {
    return ready;
  }

  boolean isOpen() {
    return !closed;
  }

  void close() {
    Channel c = channel;
    if (c != null) {
      c.close();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    ctx.writeAndFlush(Frame.hello(self));
    ctx.executor()
        .schedule(
            () -> {
              if (!ready.isDone()) {
                ctx.close();
              }
            },
            HELLO_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void scheduleLivenessCheck(ChannelHandlerContext ctx) {
    ctx.executor().schedule(() -> checkLiveness(ctx), PING_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a ping if nothing has arrived since the last check while calls are pending, and closes
   * the connection if the previous ping was not answered. Without pending calls, pings only keep an
   * idle connection open. Heartbeats count as calls.
   */
  private void checkLiveness(ChannelHandlerContext ctx) {
    if (closed) {
      return;
    }
    long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastCallNanos);
    boolean callsPending = !pending.isEmpty();
    if (!frameReceived && pingPending || idleMillis > IDLE_MILLIS && !callsPending) {
      ctx.close();
      return;
    }
    pingPending = !frameReceived && (callsPending || idleMillis > PING_IDLE_MILLIS);
    frameReceived = false;
    if (pingPending) {
      ctx.writeAndFlush(Frame.of(0, Frame.Kind.PING));
    }
    scheduleLivenessCheck(ctx);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame f) {
    frameReceived = true;
    if (!ready.isDone()) {
      if (f.kind() == Frame.Kind.HELLO
          && self.isCompatibleWith(f.hello())
          && f.hello().instance().equals(peer)) {
        scheduleLivenessCheck(ctx);
        ready.complete(this);
      } else {
        if (f.kind() == Frame.Kind.HELLO && self.isCompatibleWith(f.hello())) {
          ready.completeExceptionally(
              PeerException.processEnded("another instance than " + peer + " answers there", null));
        }
        ctx.close();
      }
      return;
    }
    switch (f.kind()) {
      case ANSWER -> completeCall(f);
      case REFUSED -> fail(f.id(), new PeerException("the peer is overloaded", false, null));
      case FAILED -> fail(f.id(), new PeerException("the peer failed", true, null));
      default -> {
        // A pong has no content; it only confirms that the connection works.
        pingPending = false;
      }
    }
  }

  private void completeCall(Frame f) {
    if (f.message() == null) {
      fail(f.id(), new PeerException("the peer sent an empty answer", true, null));
      return;
    }
    Call call = removeCall(f.id());
    if (call != null) {
      call.answer().complete(f.message());
    }
  }

  private void fail(long id, PeerException e) {
    Call call = removeCall(id);
    if (call != null) {
      call.answer().completeExceptionally(e);
    }
  }

  private Call removeCall(long id) {
    Call call = pending.remove(id);
    if (call != null) {
      pendingCount.decrementAndGet();
      call.timeout().cancel(false);
    }
    return call;
  }

  /** Sends a message and returns a future of the response. */
  CompletableFuture<PeerMessage> call(PeerMessage message, long timeoutMillis) {
    if (closed || !channel.isWritable()) {
      return notSent("the connection is closed or its send buffer is full");
    }
    if (pendingCount.incrementAndGet() > MAX_PENDING) {
      pendingCount.decrementAndGet();
      return notSent("too many calls wait for an answer");
    }
    lastCallNanos = System.nanoTime();
    final long id = nextId.getAndIncrement();
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    Future<?> timeout =
        channel
            .eventLoop()
            .schedule(
                () -> fail(id, new PeerException("no answer in " + timeoutMillis, true, null)),
                timeoutMillis,
                TimeUnit.MILLISECONDS);
    pending.put(id, new Call(answer, timeout));
    channel
        .writeAndFlush(new Frame(id, Frame.Kind.CALL, message, null))
        .addListener(
            f -> {
              if (!f.isSuccess()) {
                boolean sent = !(f.cause() instanceof EncoderException);
                fail(id, new PeerException("cannot send: " + f.cause().getMessage(), sent, null));
              }
            });
    if (closed) {
      failPending();
    }
    return answer;
  }

  private static CompletableFuture<PeerMessage> notSent(String reason) {
    return CompletableFuture.failedFuture(new PeerException(reason, false, null));
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closed = true;
    ready.completeExceptionally(
        new PeerException("peer " + peer + " did not introduce itself", false, null));
    failPending();
  }

  private void failPending() {
    for (Long id : pending.keySet()) {
      fail(id, new PeerException("the connection was closed", true, null));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
