package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Requests permits from the owners of other partitions when a team is limited by its permits here,
 * and moves unused permits to partitions that request them.
 */
final class PermitBalancer {

  /** Interval of permit requests, in milliseconds; limits the store writes for moved permits. */
  private static final long DEMAND_INTERVAL_MILLIS = 500;

  private final EngineContext context;
  private final Shard shard;
  private final HostTable hosts;
  private final PermitManager permits;
  private final ManifestManager manifests;
  private final Function<PartitionId, Optional<InstanceInfo>> ownerOf;
  private final Function<PeerMessage, CompletableFuture<PeerMessage>> localReceiver;
  private long lastDemandNanos;

  PermitBalancer(
      EngineContext context,
      Shard shard,
      HostTable hosts,
      PermitManager permits,
      ManifestManager manifests,
      Function<PartitionId, Optional<InstanceInfo>> ownerOf,
      Function<PeerMessage, CompletableFuture<PeerMessage>> localReceiver) {
    this.context = context;
    this.shard = shard;
    this.hosts = hosts;
    this.permits = permits;
    this.manifests = manifests;
    this.ownerOf = ownerOf;
    this.localReceiver = localReceiver;
  }

  /**
   * Requests permits for teams that are limited by their permits, and resends moves whose outcome
   * is unknown.
   */
  void tick() {
    long now = context.time().monotonicNanos();
    if (now - lastDemandNanos < TimeUnit.MILLISECONDS.toNanos(DEMAND_INTERVAL_MILLIS)) {
      return;
    }
    lastDemandNanos = now;
    shard.run(permits::retryMoves);
    for (PartitionHost h : shard.call(hosts::all)) {
      List<PartitionId> others = h.otherPartitions();
      if (!others.isEmpty()) {
        h.missingPermits().forEach((team, n) -> others.forEach(o -> sendDemand(o, h, team, n)));
      }
    }
  }

  private void sendDemand(PartitionId donor, PartitionHost taker, TeamId team, int count) {
    PeerMessage m = new PeerMessage.PermitDemand(donor, taker.partition(), team, count);
    ownerOf
        .apply(donor)
        .ifPresent(
            o -> {
              if (o.id().equals(context.self().id())) {
                localReceiver.apply(m);
              } else {
                context.peers().request(o, m, DEMAND_INTERVAL_MILLIS);
              }
            });
  }

  /** Moves up to half of the donor's unused permits; repeated requests obtain the rest. */
  void onDemand(PeerMessage.PermitDemand d) {
    Optional<PartitionHost> host = shard.call(() -> hosts.serving(d.donor()));
    if (host.isEmpty()) {
      return;
    }
    PartitionHost h = host.get();
    int granted = Math.min(d.count(), (h.sparePermits(d.team()) + 1) / 2);
    if (!shard.call(() -> permits.reserveMove(d.team(), d.donor(), d.taker(), granted))) {
      return;
    }
    // The bound is lowered before the move is sent. If a task started in the meantime, so that more
    // run than the bound allows, the move is cancelled.
    Optional<Map<TeamId, Integer>> bounds =
        manifests.newest().flatMap(m -> shard.call(() -> permits.bounds(d.donor(), h.epoch(), m)));
    bounds.ifPresent(b -> h.permitsChanged(bounds));
    boolean withinBound = bounds.isPresent() && h.sparePermits(d.team()) >= 0;
    String region = d.donor().region();
    shard.run(() -> finishMove(withinBound, region));
  }

  private void finishMove(boolean withinBound, String region) {
    if (withinBound) {
      permits.sendMove(region);
    } else {
      permits.cancelMove(region);
    }
  }
}
