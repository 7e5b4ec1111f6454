package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.message.PeerMessage.HeartbeatAck;
import dev.dandelionport.core.port.Tracing;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.VirtualTime;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ManifestManagerTest {

  private final VirtualTime time = new VirtualTime(1);
  private final FakeProcess process = new FakeProcess(time);
  private final ManifestManager keeper =
      new ManifestManager(
          new EngineContext(null, null, null, null, null, process, process, e -> {}, Tracing.NONE),
          m -> {});

  private static Manifest manifest(long version) {
    return new Manifest(version, "cell", List.of(), List.of(), List.of(), List.of());
  }

  /**
   * Guards against peers that confirm an old manifest to each other indefinitely because a
   * confirmation counts from its receipt instead of from the store read.
   */
  @Test
  void confirmationOfPeerCountsFromWhenThePeerReadTheStore() {
    keeper.adopt(manifest(3));
    long sent = process.monotonicNanos();
    time.runFor(400);
    assertThat(keeper.applyPeerConfirmation(new HeartbeatAck(3, 1_000), sent)).isFalse();
    assertThat(keeper.confirmationRemainingMillis())
        .isEqualTo(ManifestManager.CONFIRMATION_VALID_MILLIS - 1_400);
    assertThat(keeper.confirmation().confirmedAgeMillis()).isGreaterThanOrEqualTo(1_400);
    time.runFor(1_600);
    assertThat(keeper.confirmationRemainingMillis()).isZero();
  }

  /** Guards against a manifest that is confirmed by a peer with a newer one. */
  @Test
  void peerWithNewerManifestConfirmsNothing() {
    keeper.adopt(manifest(3));
    assertThat(keeper.applyPeerConfirmation(new HeartbeatAck(4, 0), process.monotonicNanos()))
        .isTrue();
    assertThat(keeper.confirmationRemainingMillis()).isZero();
  }

  /**
   * Guards against a delayed answer that replaces a more recent confirmation, and against a peer
   * without a confirmation that confirms the manifest.
   */
  @Test
  void onlyYoungerConfirmationsCount() {
    keeper.adopt(manifest(3));
    assertThat(keeper.applyPeerConfirmation(new HeartbeatAck(3, -1), process.monotonicNanos()))
        .isFalse();
    assertThat(keeper.confirmationRemainingMillis()).isZero();
    keeper.recordConfirmation(process.monotonicNanos());
    long old = process.monotonicNanos() - TimeUnit.SECONDS.toNanos(1);
    keeper.applyPeerConfirmation(new HeartbeatAck(3, 500), old);
    assertThat(keeper.confirmationRemainingMillis())
        .isEqualTo(ManifestManager.CONFIRMATION_VALID_MILLIS);
  }
}
