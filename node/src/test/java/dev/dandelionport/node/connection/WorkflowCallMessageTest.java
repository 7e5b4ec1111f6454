package dev.dandelionport.node.connection;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowCallKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

class WorkflowCallMessageTest {

  private static final WorkflowCall CALL =
      new WorkflowCall(WorkflowCallKind.SUBMIT, "h", "/q/1", "k", new byte[] {1, 2}, 900);

  private static byte[] encodedBody() {
    EmbeddedChannel out = new EmbeddedChannel(new FrameCodec());
    out.writeOutbound(new Frame(1, Frame.Kind.CALL, CALL, null));
    ByteBuf frame = Unpooled.buffer();
    for (ByteBuf b = out.readOutbound(); b != null; b = out.readOutbound()) {
      frame.writeBytes(b);
    }
    byte[] body = new byte[frame.readInt()];
    frame.readBytes(body);
    return body;
  }

  private static WorkflowCall decode(byte[] body) {
    EmbeddedChannel in = new EmbeddedChannel(new FrameCodec());
    in.writeInbound(Unpooled.buffer().writeInt(body.length).writeBytes(body));
    Frame f = in.readInbound();
    return (WorkflowCall) f.message();
  }

  // Guards against a sender's wait that is lost on the way, so that the owner keeps the call longer
  // than its sender waits.
  @Test
  void callRoundTripsUnchanged() {
    assertThat(decode(encodedBody())).usingRecursiveComparison().isEqualTo(CALL);
  }

  // Guards against calls of instances of an earlier version that fail during an update.
  @Test
  void callOfAnEarlierVersionHasNoWait() throws IOException {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    ObjectNode frame = (ObjectNode) mapper.readTree(encodedBody());
    frame.findParent("waitMillis").remove("waitMillis");
    WorkflowCall decoded = decode(mapper.writeValueAsBytes(frame));
    assertThat(decoded.waitMillis()).isZero();
    assertThat(decoded.path()).isEqualTo(CALL.path());
  }
}
