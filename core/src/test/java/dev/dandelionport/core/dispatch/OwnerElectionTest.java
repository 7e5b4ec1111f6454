package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OwnerElectionTest {

  /** Half of the lease, in milliseconds. */
  private static final long MAX_SUBSTITUTION_MILLIS = 500;

  // An instance whose claim failed, and that could not read the owner key afterwards, never
  // retried: without a change of the key nothing triggered another claim, so the workflows had no
  // owner.
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void ownerIsElectedAfterStoreOutageDuringClaim(int millis) {
    WorkflowCluster c = new WorkflowCluster(1, 1);
    c.time.runFor(millis);
    c.store.refusedCallers.add("n0");
    c.time.runFor(3_000);
    c.store.refusedCallers.clear();
    assertThat(c.time.runUntil(() -> c.owner().isPresent(), 3_000)).isTrue();
  }

  // An owner to which the store was unavailable accepted and started nothing until its lease of 1 s
  // had expired, although all other instances could reach the store.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void ownerWithoutStoreIsReplacedBeforeItsLeaseExpires(long seed) {
    WorkflowCluster c = new WorkflowCluster(seed, 4);
    c.time.runFor(3_000 + 37 * seed);
    WorkflowCluster.Node former = c.owner().orElseThrow();
    c.store.refusedCallers.add(former.name);
    assertThat(
            c.time.runUntil(
                () -> c.nodes.values().stream().anyMatch(n -> n != former && n.instance.isOwner()),
                MAX_SUBSTITUTION_MILLIS))
        .isTrue();
    c.time.runFor(2_000);
    assertThat(c.nodes.values()).filteredOn(n -> n.instance.isOwner()).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void ownerKeepsItsPlaceWhileTheStoreServesNobody(long seed) {
    WorkflowCluster c = new WorkflowCluster(seed, 3);
    c.time.runFor(3_000);
    c.store.refusedCallers.addAll(c.nodes.keySet());
    c.time.runFor(600);
    c.store.refusedCallers.clear();
    c.time.runFor(3_000);
    assertThat(c.servingOwners).hasSize(1);
    assertThat(c.owner()).isPresent();
  }
}
