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
 * Fails if a heartbeat is lost or a suspicion is reported twice when heartbeats arrive while the
 * member list is updated.
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

  /** Records a heartbeat of a member. */
  @Operation
  public void recordHeartbeat(@Param(gen = IntGen.class, conf = "0:1") int member) {
    table.recordHeartbeat(MEMBERS.get(member));
  }

  /**
   * Updates the table with the first members of the list and returns the new suspects as a bit
   * mask.
   */
  @Operation
  public int updateMembers(@Param(gen = IntGen.class, conf = "1:2") int memberCount) {
    return bitMask(table.updateMembers(MEMBERS.subList(0, memberCount)));
  }

  /** Advances the clock by half or all of the suspicion timeout. */
  @Operation
  public void passTime(@Param(gen = IntGen.class, conf = "1:2") int halfTimeouts) {
    nanos.addAndGet(
        TimeUnit.MILLISECONDS.toNanos(HeartbeatTable.SUSPECT_TIMEOUT_MILLIS * halfTimeouts / 2));
  }

  private static int bitMask(Collection<InstanceId> ids) {
    return (ids.contains(MEMBERS.get(0)) ? 1 : 0) + (ids.contains(MEMBERS.get(1)) ? 2 : 0);
  }

  /** Returns all suspects as a bit mask. */
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
