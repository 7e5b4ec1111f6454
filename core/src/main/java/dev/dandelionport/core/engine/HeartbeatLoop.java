package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.membership.HeartbeatTable;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Exchanges heartbeats with the other members and propagates newer manifests and assignment tables.
 * Thread-safe.
 */
final class HeartbeatLoop {

  /** Interval of control reads while a member is suspected, in milliseconds. */
  private static final long SUSPECT_READ_INTERVAL_MILLIS = 300;

  /**
   * Number of control reads after a member becomes suspected; its lease expires within that time.
   */
  private static final int SUSPECT_READS = 4;

  /**
   * Number of members from which a confirmation is requested before a control read. With more
   * members the requests cost more bytes than the reads that they save.
   */
  private static final int CONFIRMATION_PEERS = 3;

  private final EngineContext context;
  private final Supplier<ControlState> state;
  private final ManifestManager manifests;
  private final Runnable refresh;
  private final HeartbeatTable heartbeats;
  private final AtomicInteger nextPeer = new AtomicInteger();
  private volatile AssignmentTable pushedTable = AssignmentTable.EMPTY;
  private volatile boolean stopped;

  HeartbeatLoop(
      EngineContext context,
      Supplier<ControlState> state,
      ManifestManager manifests,
      Runnable refresh) {
    this.context = context;
    this.state = state;
    this.manifests = manifests;
    this.refresh = refresh;
    this.heartbeats = new HeartbeatTable(context.time());
  }

  void start() {
    if (stopped) {
      return;
    }
    List<InstanceInfo> others = otherMembers();
    List<InstanceId> newSuspects =
        heartbeats.updateMembers(others.stream().map(InstanceInfo::id).toList());
    for (InstanceId suspect : newSuspects) {
      context.observer().accept(new EngineEvent.PeerSuspected(suspect));
    }
    if (!newSuspects.isEmpty()) {
      scheduleReads(SUSPECT_READS);
    }
    PeerMessage.Heartbeat h = heartbeat();
    others.forEach(m -> sendHeartbeat(m, h));
    context.timer().schedule(HeartbeatTable.INTERVAL_MILLIS, this::start);
  }

  private void sendHeartbeat(InstanceInfo to, PeerMessage.Heartbeat h) {
    long sentNanos = context.time().monotonicNanos();
    context
        .peers()
        .request(to, h, HeartbeatTable.INTERVAL_MILLIS)
        .thenAccept(
            r -> {
              if (r instanceof PeerMessage.HeartbeatAck a
                  && manifests.applyPeerConfirmation(a, sentNanos)) {
                refresh.run();
              }
            });
  }

  /**
   * Requests the age of the manifest's confirmation from a few other members, in turn. Returns
   * whether there are other members.
   */
  boolean requestConfirmations() {
    List<InstanceInfo> others = otherMembers();
    PeerMessage.Heartbeat h = heartbeat();
    int firstIndex = nextPeer.getAndAdd(CONFIRMATION_PEERS);
    for (int i = 0; i < Math.min(CONFIRMATION_PEERS, others.size()); i++) {
      sendHeartbeat(others.get(Math.floorMod(firstIndex + i, others.size())), h);
    }
    return !others.isEmpty();
  }

  private PeerMessage.Heartbeat heartbeat() {
    return new PeerMessage.Heartbeat(
        context.self().id(),
        manifestVersion(),
        newestTable().version(),
        List.copyOf(heartbeats.suspects()));
  }

  void stop() {
    stopped = true;
  }

  Set<InstanceId> suspects() {
    return heartbeats.suspects();
  }

  /** Returns the newest table, either read from the store or received from a peer. */
  AssignmentTable newestTable() {
    AssignmentTable read = state.get().table();
    return pushedTable.version() > read.version() ? pushedTable : read;
  }

  /**
   * Stores a table received from a peer if it is newer, and returns the version of the newest
   * table.
   */
  long onTablePushed(AssignmentTable t) {
    synchronized (this) {
      if (t.version() > pushedTable.version()) {
        pushedTable = t;
      }
    }
    if (t.version() > state.get().table().version()) {
      refresh.run();
    }
    return newestTable().version();
  }

  /**
   * Records a peer's heartbeat; reads the control state if the peer has a newer manifest or table,
   * or sends it a newer manifest.
   */
  void onHeartbeat(PeerMessage.Heartbeat h) {
    heartbeats.recordHeartbeat(h.from());
    if (h.manifestVersion() > manifestVersion()
        || h.assignmentVersion() > newestTable().version()) {
      refresh.run();
    } else if (h.manifestVersion() < manifestVersion()) {
      newestTable()
          .member(h.from())
          .ifPresent(
              m -> manifests.newest().ifPresent(x -> send(m, new PeerMessage.ManifestPush(x))));
    }
  }

  /** Sends a newly adopted manifest to all peers. */
  void manifestAdopted(Manifest m) {
    otherMembers().forEach(o -> send(o, new PeerMessage.ManifestPush(m)));
  }

  private void scheduleReads(int times) {
    if (times > 0 && !stopped) {
      refresh.run();
      context.timer().schedule(SUSPECT_READ_INTERVAL_MILLIS, () -> scheduleReads(times - 1));
    }
  }

  private long manifestVersion() {
    return manifests.newest().map(Manifest::version).orElse(0L);
  }

  private List<InstanceInfo> otherMembers() {
    return newestTable().members().values().stream()
        .filter(m -> !m.id().equals(context.self().id()))
        .toList();
  }

  private void send(InstanceInfo to, PeerMessage m) {
    context.peers().request(to, m, HeartbeatTable.INTERVAL_MILLIS);
  }
}
