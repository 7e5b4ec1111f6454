package dev.dandelionport.node.request;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.engine.InstanceEngine;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.InspectAnswer;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Collects manifest versions and scheduler figures from all instances. An instance that does not
 * answer in time is left out of the result.
 */
final class CellInspector {

  /** Timeout of one call to another instance, in milliseconds. */
  private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

  private final InstanceEngine engine;
  private final PeerClient peers;

  CellInspector(InstanceEngine engine, PeerClient peers) {
    this.engine = engine;
    this.peers = peers;
  }

  /** Manifest version of each instance, and the answer of each partition's owner. */
  record Figures(
      Map<InstanceId, Long> manifestVersions, Map<PartitionId, InspectAnswer> partitions) {}

  /** Calls all members of the cell and the owners of {@code partitions}. */
  CompletableFuture<Figures> inspectAll(List<PartitionId> partitions) {
    Map<InstanceId, Long> versions = new ConcurrentHashMap<>();
    Map<PartitionId, InspectAnswer> answers = new ConcurrentHashMap<>();
    List<CompletableFuture<?>> calls = new ArrayList<>();
    for (InstanceInfo i : engine.state().table().members().values()) {
      calls.add(
          inspect(i, null, null)
              .thenAccept(a -> a.ifPresent(x -> versions.put(i.id(), x.manifestVersion()))));
    }
    for (PartitionId p : partitions) {
      calls.add(inspectPartition(p, null).thenAccept(a -> a.ifPresent(x -> answers.put(p, x))));
    }
    return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
        .thenApply(v -> new Figures(versions, new TreeMap<>(answers)));
  }

  /**
   * Requests the figures of a partition from its owner, and the explanation of {@code job} unless
   * it is null. Completes empty if the partition has no owner or the owner does not answer.
   */
  CompletableFuture<Optional<InspectAnswer>> inspectPartition(PartitionId p, JobKey job) {
    return engine
        .ownerOf(p)
        .map(o -> inspect(o, p, job).thenApply(a -> a.filter(x -> x.figures() != null)))
        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
  }

  private CompletableFuture<Optional<InspectAnswer>> inspect(
      InstanceInfo to, PartitionId p, JobKey job) {
    PeerMessage m = new PeerMessage.InspectCall(p, job);
    CompletableFuture<PeerMessage> answer =
        to.id().equals(engine.self().id())
            ? engine.receive(m)
            : peers.request(to, m, ANSWER_TIMEOUT_MILLIS);
    return answer.handle(
        (r, e) -> r instanceof InspectAnswer a ? Optional.of(a) : Optional.empty());
  }
}
