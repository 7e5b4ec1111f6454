package dev.dandelionport.node.connection;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import dev.dandelionport.core.message.PeerMessage;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.function.ObjLongConsumer;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes a frame as a 4-byte length followed by a MessagePack map, and decodes it. Each connection
 * needs its own codec.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {

  /** Largest frame, in bytes. */
  static final int MAX_FRAME_BYTES = 1 << 20;

  /**
   * Largest first frame, in bytes; limits the memory used for a peer that is not yet identified.
   */
  static final int MAX_HELLO_BYTES = 1_024;

  private static final int LENGTH_BYTES = 4;

  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .setSerializationInclusion(JsonInclude.Include.NON_NULL)
          .addMixIn(PeerMessage.class, TypedMessage.class)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  static {
    // The wire format names each message type by the simple name of its class.
    for (Class<?> c : PeerMessage.class.getPermittedSubclasses()) {
      MAPPER.registerSubtypes(new NamedType(c, c.getSimpleName()));
    }
  }

  private final ObjLongConsumer<String> sentCounter;
  private boolean helloReceived;

  /** Creates a codec that does not report the frames that it encodes. */
  FrameCodec() {
    this((kind, bytes) -> {});
  }

  /** Creates a codec that reports the kind and length in bytes of each frame that it encodes. */
  FrameCodec(ObjLongConsumer<String> sentCounter) {
    this.sentCounter = sentCounter;
  }

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
  private interface TypedMessage {}

  @Override
  protected void encode(ChannelHandlerContext ctx, Frame frame, ByteBuf out) throws IOException {
    byte[] body = MAPPER.writeValueAsBytes(frame);
    if (body.length > MAX_FRAME_BYTES) {
      throw new FrameTooLargeException(body.length);
    }
    out.writeInt(body.length);
    out.writeBytes(body);
    sentCounter.accept(kind(frame), LENGTH_BYTES + body.length);
  }

  private static String kind(Frame f) {
    return f.message() == null
        ? f.kind().name().toLowerCase(Locale.ROOT)
        : f.message().getClass().getSimpleName();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (in.readableBytes() < LENGTH_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length <= 0 || length > (helloReceived ? MAX_FRAME_BYTES : MAX_HELLO_BYTES)) {
      throw new CorruptedFrameException("frame length " + length + " is out of range");
    }
    if (in.readableBytes() < LENGTH_BYTES + length) {
      return;
    }
    in.skipBytes(LENGTH_BYTES);
    byte[] body = new byte[length];
    in.readBytes(body);
    FrameChecker.check(body);
    try {
      Frame frame = MAPPER.readValue(body, Frame.class);
      if (frame == null || frame.kind() == null) {
        throw new CorruptedFrameException("frame has no kind");
      }
      helloReceived = true;
      out.add(frame);
    } catch (IOException | RuntimeException e) {
      // The MessagePack parser throws unchecked exceptions for mismatched types.
      throw new CorruptedFrameException("frame is not a valid message", e);
    }
  }
}
