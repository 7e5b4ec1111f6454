package dev.dandelionport.node.process;

import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerClient;
import java.util.concurrent.CompletableFuture;

/** Counts the calls to other instances by message type and outcome. */
final class MeteredPeerClient implements PeerClient {

  private final PeerClient peers;
  private final InstanceMetrics metrics;

  MeteredPeerClient(PeerClient peers, InstanceMetrics metrics) {
    this.peers = peers;
    this.metrics = metrics;
  }

  @Override
  public CompletableFuture<PeerMessage> request(
      InstanceInfo peer, PeerMessage message, long timeoutMillis) {
    String kind = message.getClass().getSimpleName();
    return peers
        .request(peer, message, timeoutMillis)
        .whenComplete(
            (r, e) ->
                metrics.counter(MetricSpec.PEER_CALLS, kind, e == null ? "ok" : "failed").inc());
  }
}
