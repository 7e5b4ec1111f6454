package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OwnerElectionTest {

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
}
