package dev.dandelionport.node.connection;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.manifest.FailureDomain;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.Region;
import dev.dandelionport.core.manifest.Team;
import dev.dandelionport.core.manifest.TeamKey;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.ownership.PartitionOwner;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.scheduler.JobStatus;
import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Prints frame sizes for cells of different size and payloads; run by bin/capacity. */
final class FrameSizes {

  private static final long NOW = 1_800_000_000_000L;
  private static final String TRACE = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

  private FrameSizes() {}

  public static void main(String[] args) {
    for (int instances : new int[] {3, 6, 9}) {
      System.out.println("frames instances=" + instances + " " + sizes(instances, 64));
    }
    for (int payload : new int[] {64, 512, 4_096}) {
      System.out.println("frames payloadBytes=" + payload + " " + sizes(9, payload));
    }
  }

  /** Returns the frame size in bytes by kind, for a cell with {@code instances} instances. */
  static Map<String, Integer> sizes(int instances, int payload) {
    Map<String, Integer> m = new LinkedHashMap<>();
    for (Frame.Kind k : List.of(Frame.Kind.PING, Frame.Kind.PONG)) {
      m.put(k.name(), bytes(new Frame(0, k, null, null)));
    }
    for (PeerMessage x : messages(instances, payload)) {
      m.put(x.getClass().getSimpleName(), bytes(new Frame(1_000_000, Frame.Kind.CALL, x, null)));
    }
    return m;
  }

  private static List<PeerMessage> messages(int instances, int payload) {
    InstanceId self = new InstanceId("entry-1-mx8nhrwv");
    JobKey k = new JobKey(new TeamId("certificates"), "request-1000001");
    JobSpec spec =
        new JobSpec(
            k,
            "inspections",
            WorkloadClass.URGENT,
            NOW + 3_600_000,
            new ResourceVector(1, 1, 1_000, 1_000, 0),
            1,
            1_000,
            false,
            "p".repeat(payload),
            "f".repeat(64));
    JobStatus s = new JobStatus(k, JobPhase.SUCCEEDED, List.of("done"), "", NOW, NOW, NOW);
    return List.of(
        new PeerMessage.Heartbeat(self, 1_400, 2_000, List.of()),
        new PeerMessage.HeartbeatAck(1_400, 2_000),
        new PeerMessage.ManifestPush(manifest(instances)),
        new PeerMessage.AssignmentPush(table(instances)),
        new PeerMessage.SubmitCall(spec, 5_000, TRACE, 1_000_000),
        new PeerMessage.StatusCall(k, 5_000),
        new PeerMessage.CancelCall(k),
        new PeerMessage.JobAnswer(JobReply.of(s)),
        new PeerMessage.Ack());
  }

  /** Returns a manifest whose number of teams is proportional to the cell: 20 for 9 instances. */
  private static Manifest manifest(int instances) {
    List<Team> teams = new ArrayList<>();
    for (int i = 0; i < 20 * instances / 9; i++) {
      TeamKey key = new TeamKey("key-" + i, "a1b2c3d4e5f60718", "b".repeat(64));
      teams.add(new Team("team-" + i, "account", "tallinn", 1, 400, 1_000, List.of(key, key)));
    }
    List<FailureDomain> domains = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      domains.add(new FailureDomain("fd-" + i, "tallinn", true));
    }
    return new Manifest(1, "cell", List.of(new Region("tallinn", 4)), domains, teams, List.of());
  }

  private static AssignmentTable table(int instances) {
    Map<String, InstanceInfo> members = new TreeMap<>();
    Map<String, PartitionOwner> owners = new TreeMap<>();
    for (int i = 0; i < instances; i++) {
      InstanceId id = new InstanceId("entry-" + i + "-mx8nhrwv");
      members.put(id.value(), new InstanceInfo(id, "tallinn", "fd-a", "10.0.0." + i, 27_000));
      owners.put("tallinn-" + i, new PartitionOwner(id, 12, 1_000_000, false));
    }
    return new AssignmentTable(2_000, members, owners);
  }

  private static int bytes(Frame f) {
    EmbeddedChannel c = new EmbeddedChannel(new FrameCodec());
    c.writeOutbound(f);
    ByteBuf b = c.readOutbound();
    int n = b.readableBytes();
    b.release();
    c.finish();
    return n;
  }
}
