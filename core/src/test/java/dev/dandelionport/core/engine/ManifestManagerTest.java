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
  private final ManifestManager manager =
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
  void peerConfirmationIsAsOldAsThePeersStoreRead() {
    manager.adopt(manifest(3));
    long sent = process.monotonicNanos();
    time.runFor(400);
    assertThat(manager.applyPeerConfirmation(new HeartbeatAck(3, 1_000), sent)).isFalse();
    assertThat(manager.confirmationRemainingMillis())
        .isEqualTo(ManifestManager.CONFIRMATION_VALID_MILLIS - 1_400);
    assertThat(manager.confirmation().confirmedAgeMillis()).isGreaterThanOrEqualTo(1_400);
    time.runFor(1_600);
    assertThat(manager.confirmationRemainingMillis()).isZero();
  }

  /** Guards against a manifest that is confirmed by a peer with a newer one. */
  @Test
  void peerWithNewerManifestConfirmsNothing() {
    manager.adopt(manifest(3));
    assertThat(manager.applyPeerConfirmation(new HeartbeatAck(4, 0), process.monotonicNanos()))
        .isTrue();
    assertThat(manager.confirmationRemainingMillis()).isZero();
  }

  /**
   * Guards against a delayed answer that replaces a more recent confirmation, and against a peer
   * without a confirmation that confirms the manifest.
   */
  @Test
  void olderConfirmationsAreIgnored() {
    manager.adopt(manifest(3));
    assertThat(manager.applyPeerConfirmation(new HeartbeatAck(3, -1), process.monotonicNanos()))
        .isFalse();
    assertThat(manager.confirmationRemainingMillis()).isZero();
    manager.recordConfirmation(process.monotonicNanos());
    long old = process.monotonicNanos() - TimeUnit.SECONDS.toNanos(1);
    manager.applyPeerConfirmation(new HeartbeatAck(3, 500), old);
    assertThat(manager.confirmationRemainingMillis())
        .isEqualTo(ManifestManager.CONFIRMATION_VALID_MILLIS);
  }
}
