package dev.dandelionport.node.connection;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.ClaimAnswer;
import dev.dandelionport.core.message.PeerMessage.ClaimCall;
import dev.dandelionport.core.message.PeerMessage.KnownOwner;
import dev.dandelionport.core.message.PeerMessage.Member;
import dev.dandelionport.core.message.PeerMessage.MemberAnswer;
import dev.dandelionport.core.message.PeerMessage.MemberCall;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.workflow.WorkflowState;
import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class MemberMessagesTest {

  private static Stream<PeerMessage> messages() {
    InstanceInfo info = new InstanceInfo(new InstanceId("i"), "r", "fd", "127.0.0.1", 1);
    Member member = new Member(info, 1_500, true);
    return Stream.of(
        new MemberCall(member, 7, true),
        new MemberAnswer(false, false, null, List.of(), List.of()),
        new MemberAnswer(true, true, new KnownOwner(info, 8, 9), List.of(member), List.of(info)),
        new ClaimCall(7),
        new ClaimAnswer(true),
        new WorkflowAnswer(WorkflowStatus.REFUSED, null, 0, 700, true),
        new WorkflowAnswer(WorkflowStatus.OK, WorkflowState.RUNNING, 3, 0));
  }

  // Guards against lists of instances, including empty ones, that are decoded differently from how
  // they were encoded.
  @ParameterizedTest
  @MethodSource("messages")
  void memberMessagesRoundTripUnchanged(PeerMessage m) {
    EmbeddedChannel out = new EmbeddedChannel(new FrameCodec());
    out.writeOutbound(new Frame(1, Frame.Kind.CALL, m, null));
    EmbeddedChannel in = new EmbeddedChannel(new FrameCodec());
    for (ByteBuf b = out.readOutbound(); b != null; b = out.readOutbound()) {
      in.writeInbound(b);
    }
    Frame f = in.readInbound();
    assertThat(f.message()).isEqualTo(m);
  }
}
