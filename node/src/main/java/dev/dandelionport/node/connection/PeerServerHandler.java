package dev.dandelionport.node.connection;

import dev.dandelionport.core.message.PeerMessage;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Serves one connection that a peer opened. The peer must send its hello frame within a deadline
 * and must keep sending frames. Reading pauses while the send buffer is full because the peer does
 * not read its responses.
 */
final class PeerServerHandler extends SimpleChannelInboundHandler<Frame> {

  /**
   * Time without a frame after which a connection is closed, in milliseconds; peers ping more
   * often.
   */
  private static final long IDLE_MILLIS = 10_000;

  private final Frame.Hello self;
  private final Function<PeerMessage, CompletableFuture<PeerMessage>> receiver;
  private final AtomicInteger inFlight = new AtomicInteger();
  private boolean helloReceived;
  private boolean frameReceived;

  PeerServerHandler(
      Frame.Hello self, Function<PeerMessage, CompletableFuture<PeerMessage>> receiver) {
    this.self = self;
    this.receiver = receiver;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    scheduleCheck(ctx, PeerConnection.HELLO_MILLIS);
  }

  private void scheduleCheck(ChannelHandlerContext ctx, long millis) {
    ctx.executor()
        .schedule(
            () -> {
              boolean active = frameReceived;
              frameReceived = false;
              if (!active) {
                ctx.close();
              } else if (ctx.channel().isOpen()) {
                scheduleCheck(ctx, IDLE_MILLIS);
              }
            },
            millis,
            TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame f) {
    frameReceived = true;
    if (!helloReceived) {
      helloReceived = f.kind() == Frame.Kind.HELLO && self.isCompatibleWith(f.hello());
      if (helloReceived) {
        ctx.writeAndFlush(Frame.hello(self));
      } else {
        ctx.close();
      }
    } else if (f.kind() == Frame.Kind.PING) {
      ctx.writeAndFlush(Frame.of(f.id(), Frame.Kind.PONG));
    } else if (f.kind() == Frame.Kind.CALL) {
      handleCall(ctx, f);
    }
  }

  private void handleCall(ChannelHandlerContext ctx, Frame f) {
    if (f.message() == null || inFlight.incrementAndGet() > PeerConnection.MAX_PENDING) {
      inFlight.addAndGet(f.message() == null ? 0 : -1);
      ctx.writeAndFlush(Frame.of(f.id(), Frame.Kind.REFUSED));
      return;
    }
    invokeReceiver(f.message())
        .whenComplete(
            (m, e) -> {
              inFlight.decrementAndGet();
              ctx.writeAndFlush(
                  e == null && m != null
                      ? new Frame(f.id(), Frame.Kind.ANSWER, m, null)
                      : Frame.of(f.id(), Frame.Kind.FAILED));
            });
  }

  private CompletableFuture<PeerMessage> invokeReceiver(PeerMessage m) {
    try {
      return receiver.apply(m);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    // Reads no further calls from a peer that does not read its responses.
    ctx.channel().config().setAutoRead(ctx.channel().isWritable());
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
