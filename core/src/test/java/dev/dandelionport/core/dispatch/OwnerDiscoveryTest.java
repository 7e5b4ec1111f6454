package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.StepSpecs;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests how an instance without access to the store finds the owner. */
class OwnerDiscoveryTest {

  /** Time by which a new owner is elected and known to every instance, in milliseconds. */
  private static final long DISCOVERY_MILLIS = 2_500;

  private static LongStream seeds() {
    return LongStream.rangeClosed(1, 10);
  }

  private static WorkflowStatus submit(WorkflowCluster c, WorkflowCluster.Node node) {
    CompletableFuture<WorkflowAnswer> f =
        c.submit(node, "w", StepSpecs.of(1, new ResourceVector(0, 0, 1_000, 10, 0), 100));
    assertThat(c.time.runUntil(f::isDone, 3_100)).isTrue();
    return f.join().status();
  }

  private static WorkflowCluster.Node anyOtherThan(
      WorkflowCluster c, WorkflowCluster.Node excluded) {
    return c.nodes.values().stream().filter(n -> n != excluded).findFirst().orElseThrow();
  }

  // An instance without access to the store knew only the former owner: it kept client requests
  // waiting for 2.5 s and then refused them.
  @ParameterizedTest
  @MethodSource("seeds")
  void instanceWithoutStoreAccessFindsNewOwner(long seed) {
    WorkflowCluster c = new WorkflowCluster(seed, 4);
    c.time.runFor(3_000);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    WorkflowCluster.Node isolated = anyOtherThan(c, former);
    c.store.refusedCallers.add(isolated.name);
    c.kill(former.name);
    c.time.runFor(DISCOVERY_MILLIS);
    assertThat(isolated.instance.isReady()).isTrue();
    assertThat(submit(c, isolated)).isEqualTo(WorkflowStatus.OK);
  }

  // A former owner that loses access to the store must find the new owner through its peers,
  // although before it was itself the source of this information for them.
  @ParameterizedTest
  @MethodSource("seeds")
  void formerOwnerWithoutStoreAccessFindsNewOwner(long seed) {
    WorkflowCluster c = new WorkflowCluster(seed, 4);
    c.time.runFor(3_000);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    c.store.refusedCallers.add(former.name);
    c.time.runFor(DISCOVERY_MILLIS);
    assertThat(former.instance.isOwner()).isFalse();
    assertThat(former.instance.isReady()).isTrue();
    assertThat(submit(c, former)).isEqualTo(WorkflowStatus.OK);
  }

  // Guards against a stale owner, still reported by peers after its key was deleted, that replaces
  // a newer one.
  @Test
  void staleOwnerReportedByPeersIsIgnored() {
    WorkflowCluster c = new WorkflowCluster(1, 3);
    c.time.runFor(3_000);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    WorkflowCluster.Node isolated = anyOtherThan(c, former);
    c.store.refusedCallers.add(isolated.name);
    former.instance.handOver();
    c.time.runFor(DISCOVERY_MILLIS);
    WorkflowCluster.Node next = c.owner().orElseThrow();
    assertThat(next).isNotSameAs(former);
    c.store.refusedCallers.clear();
    c.time.runFor(2_000);
    assertThat(c.owner()).contains(next);
    assertThat(submit(c, isolated)).isEqualTo(WorkflowStatus.OK);
    assertThat(c.servingOwners).hasSize(2);
  }
}
