package dev.dandelionport.node.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.scheduler.JobSpec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the decoder with truncated, mutated, random and oversized input. */
@Timeout(120)
class FrameCodecFuzzTest {

  private static final Frame HELLO =
      Frame.hello(new Frame.Hello(Frame.PROTOCOL_VERSION, "cell", "instance"));

  private static byte[] encoded(Frame... frames) {
    EmbeddedChannel ch = new EmbeddedChannel(new FrameCodec());
    ch.writeOutbound((Object[]) frames);
    ByteBuf all = Unpooled.buffer();
    for (ByteBuf b = ch.readOutbound(); b != null; b = ch.readOutbound()) {
      all.writeBytes(b);
      b.release();
    }
    byte[] bytes = new byte[all.readableBytes()];
    all.readBytes(bytes);
    return bytes;
  }

  private static Frame submit() {
    JobSpec spec =
        new JobSpec(
            new JobKey(new TeamId("team"), "key"),
            "",
            WorkloadClass.URGENT,
            1_000,
            new ResourceVector(1, 1, 100, 100, 0),
            1,
            100,
            true,
            "payload",
            "print");
    return new Frame(7, Frame.Kind.CALL, new PeerMessage.SubmitCall(spec, 10, "trace", 7), null);
  }

  /** Decodes bytes and returns the number of frames decoded before the first error. */
  private static int decode(byte[] bytes) {
    EmbeddedChannel ch = new EmbeddedChannel(new FrameCodec());
    int frames = 0;
    try {
      ch.writeInbound(Unpooled.wrappedBuffer(bytes));
    } catch (DecoderException e) {
      assertThat(e.getCause() instanceof Error).isFalse();
    }
    while (ch.readInbound() != null) {
      frames++;
    }
    return frames;
  }

  private static byte[] framed(byte[] body) {
    byte[] hello = encoded(HELLO);
    ByteBuf b = Unpooled.buffer();
    b.writeBytes(hello).writeInt(body.length).writeBytes(body);
    return Arrays.copyOf(b.array(), b.writerIndex());
  }

  @Test
  void framesSplitAtAnyByteAreDecoded() {
    // A decoder that expects each frame in one read loses frames that arrive in several reads.
    byte[] bytes = encoded(HELLO, submit(), Frame.of(1, Frame.Kind.PING));
    EmbeddedChannel ch = new EmbeddedChannel(new FrameCodec());
    for (byte b : bytes) {
      ch.writeInbound(Unpooled.wrappedBuffer(new byte[] {b}));
    }
    assertThat(ch.<Frame>readInbound()).isEqualTo(HELLO);
    assertThat(ch.<Frame>readInbound()).isEqualTo(submit());
    assertThat(ch.<Frame>readInbound().kind()).isEqualTo(Frame.Kind.PING);
  }

  @Test
  void truncatedFramesAreNotDecoded() {
    // The decoder must wait for the rest of a truncated frame and not decode it as complete.
    byte[] bytes = encoded(HELLO, submit());
    int helloLength = encoded(HELLO).length;
    for (int n = 0; n < bytes.length; n++) {
      assertThat(decode(Arrays.copyOf(bytes, n))).isEqualTo(n < helloLength ? 0 : 1);
    }
  }

  @Test
  void mutatedFramesAreDecodedOrRefused() {
    // A mutated byte must not cause an Error or an endless loop, only a decoded or refused frame.
    byte[] bytes = encoded(HELLO, submit());
    for (int seed = 0; seed < 20_000; seed++) {
      Random random = new Random(seed);
      byte[] copy = bytes.clone();
      for (int i = 0; i <= random.nextInt(4); i++) {
        copy[random.nextInt(copy.length)] = (byte) random.nextInt(256);
      }
      assertThat(decode(copy)).isLessThanOrEqualTo(2);
    }
  }

  @Test
  void garbageBodiesAreRefused() {
    // A random body with a correct length must not be decoded as a message.
    for (int seed = 0; seed < 20_000; seed++) {
      Random random = new Random(seed);
      byte[] body = new byte[1 + random.nextInt(200)];
      random.nextBytes(body);
      assertThat(decode(framed(body))).isEqualTo(1);
    }
  }

  @Test
  void announcedLengthsAreNotTrusted() {
    // Without the check, a value with a declared length of 2 GB is allocated before it is read.
    for (int type : new int[] {0xc6, 0xdb, 0xdd, 0xdf, 0xc9}) {
      byte[] body = {(byte) type, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0};
      assertThat(decode(framed(body))).isEqualTo(1);
      byte[] inMap = {(byte) 0x81, (byte) 0xa1, 'x', (byte) type, 0x7f, (byte) 0xff, -1, -1};
      assertThat(decode(framed(inMap))).isEqualTo(1);
    }
  }

  @Test
  void deepNestingIsRefused() {
    // Unbounded nesting would overflow the stack of the event loop thread.
    for (int type : new int[] {0x91, 0x81}) {
      byte[] body = new byte[500_000];
      Arrays.fill(body, (byte) type);
      assertThat(decode(framed(body))).isEqualTo(1);
    }
  }

  @Test
  void wrongTypesAreRefused() {
    // Well-formed values of an unexpected type must not reach the handlers.
    byte[][] bodies = {
      {(byte) 0x80},
      {(byte) 0xc0},
      {(byte) 0x90},
      {(byte) 0x81, (byte) 0xa4, 'k', 'i', 'n', 'd', (byte) 0x93, 1, 2, 3},
      {(byte) 0x81, (byte) 0xa4, 'k', 'i', 'n', 'd', (byte) 0xa3, 'X', 'X', 'X'},
      {(byte) 0x81, (byte) 0xa2, 'i', 'd', (byte) 0xa1, 'x'},
    };
    for (byte[] body : bodies) {
      assertThat(decode(framed(body))).isEqualTo(1);
    }
  }

  @Test
  void oversizedFramesAreRefusedBeforeTheirBodyArrives() {
    // The declared length must be checked before the body is buffered. The limit is much lower for
    // the first frame, because the peer is not yet identified.
    byte[] hello = encoded(HELLO);
    ByteBuf big = Unpooled.buffer().writeBytes(hello).writeInt(FrameCodec.MAX_FRAME_BYTES + 1);
    assertThat(decode(Arrays.copyOf(big.array(), big.writerIndex()))).isEqualTo(1);
    ByteBuf first = Unpooled.buffer().writeInt(FrameCodec.MAX_HELLO_BYTES + 1);
    EmbeddedChannel ch = new EmbeddedChannel(new FrameCodec());
    assertThatThrownBy(() -> ch.writeInbound(first)).isInstanceOf(DecoderException.class);
  }
}
