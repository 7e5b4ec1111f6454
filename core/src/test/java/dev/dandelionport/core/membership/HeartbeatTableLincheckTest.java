package dev.dandelionport.core.membership;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.TimeSource;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/**
 * Guards against a heartbeat that is lost, or a suspicion that is reported twice, when messages
 * arrive while the members are looked over.
 */
public class HeartbeatTableLincheckTest {

  private static final List<InstanceId> MEMBERS =
      List.of(new InstanceId("one"), new InstanceId("two"));

  private final AtomicLong nanos = new AtomicLong();
  private final HeartbeatTable table =
      new HeartbeatTable(
          new TimeSource() {
            @Override
            public long wallMillis() {
              return 0;
            }

            @Override
            public long monotonicNanos() {
              return nanos.get();
            }
          });

  /** Notes a heartbeat. */
  @Operation
  public void recordHeartbeat(@Param(gen = IntGen.class, conf = "0:1") int member) {
    table.recordHeartbeat(MEMBERS.get(member));
  }

  /** Looks over the first members of the list and returns the new suspects. */
  @Operation
  public int updateMembers(@Param(gen = IntGen.class, conf = "1:2") int memberCount) {
    return bitMask(table.updateMembers(MEMBERS.subList(0, memberCount)));
  }

  /** Lets so much time pass that a silent member becomes a suspect. */
  @Operation
  public void passTime(@Param(gen = IntGen.class, conf = "1:2") int halfTimeouts) {
    nanos.addAndGet(
        TimeUnit.MILLISECONDS.toNanos(HeartbeatTable.SUSPECT_TIMEOUT_MILLIS * halfTimeouts / 2));
  }

  private static int bitMask(Collection<InstanceId> ids) {
    return (ids.contains(MEMBERS.get(0)) ? 1 : 0) + (ids.contains(MEMBERS.get(1)) ? 2 : 0);
  }

  /** Returns all suspects. */
  @Operation
  public int suspects() {
    return bitMask(table.suspects());
  }

  @Test
  void callsAreLinearizable() {
    new ModelCheckingOptions()
        .iterations(10)
        .invocationsPerIteration(30)
        .threads(2)
        .actorsPerThread(2)
        .check(HeartbeatTableLincheckTest.class);
  }
}
