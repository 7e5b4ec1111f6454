package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.ownership.Authority;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerClient;
import dev.dandelionport.core.port.Timer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Grants and collects promises while the store is unreachable. A member that grants a promise
 * claims no partition until it expires. Extending ownership requires a promise from every other
 * member of the owner's region, since only they may claim its partitions. The manifest is confirmed
 * when every other member of the cell has granted a promise and none has a newer manifest.
 * Thread-safe.
 */
final class PromiseManager {

  /** Duration of a promise, in milliseconds. */
  static final long PROMISE_MILLIS = 2_000;

  /**
   * Maximum time for which promises replace the store, in milliseconds; a joining instance may have
   * to wait that long.
   */
  static final long MAX_EXTENSION_MILLIS = 300_000;

  /** Interval and timeout of promise requests, in milliseconds. */
  private static final long REQUEST_INTERVAL_MILLIS = 400;

  private final InstanceInfo self;
  private final PeerClient peers;
  private final TimeSource time;
  private final Timer timer;
  private final MonitoredStore store;
  private final ManifestManager manifests;
  private final Consumer<EngineEvent> observer;
  private final Supplier<AssignmentTable> table;
  private final Supplier<Optional<LeaseManager.Session>> session;
  private long promisedUntilNanos;
  private boolean promiseGiven;
  private long extendedUntilNanos;
  private boolean extended;
  private long lastRequestNanos;
  private boolean everRequested;

  PromiseManager(
      EngineContext context,
      MonitoredStore store,
      ManifestManager manifests,
      Supplier<AssignmentTable> table,
      Supplier<Optional<LeaseManager.Session>> session) {
    this.self = context.self();
    this.peers = context.peers();
    this.time = context.time();
    this.timer = context.timer();
    this.observer = context.observer();
    this.store = store;
    this.manifests = manifests;
    this.table = table;
    this.session = session;
  }

  /**
   * Handles a promise request. Grants it only if the store is unreachable for this instance too,
   * this instance has no newer table, and the requested duration is within the limit.
   */
  synchronized PeerMessage.PromiseReply answer(PeerMessage.PromiseRequest request) {
    boolean grant =
        !store.isReachable()
            && table.get().version() <= request.assignmentVersion()
            && request.holdMillis() <= PROMISE_MILLIS;
    if (grant) {
      long untilNanos = time.monotonicNanos() + TimeUnit.MILLISECONDS.toNanos(request.holdMillis());
      promisedUntilNanos =
          promiseGiven && promisedUntilNanos - untilNanos > 0 ? promisedUntilNanos : untilNanos;
      promiseGiven = true;
    }
    return new PeerMessage.PromiseReply(grant, manifests.newest().map(m -> m.version()).orElse(0L));
  }

  /**
   * Returns how long granted promises prevent this instance from claiming a partition, in
   * milliseconds.
   */
  synchronized long claimWaitMillis() {
    return promiseGiven ? remainingMillis(promisedUntilNanos) : 0;
  }

  /**
   * Returns how long a joining instance must wait until all promises granted to or by this instance
   * have expired, in milliseconds.
   */
  synchronized long joinWaitMillis() {
    return Math.max(claimWaitMillis(), extended ? remainingMillis(extendedUntilNanos) : 0);
  }

  private long remainingMillis(long untilNanos) {
    long nanos = untilNanos - time.monotonicNanos();
    return nanos <= 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
  }

  /** Requests promises if the store is unreachable. */
  void tick() {
    Optional<LeaseManager.Session> s = session.get();
    if (s.isEmpty() || store.isReachable() || store.millisSinceSuccess() > MAX_EXTENSION_MILLIS) {
      return;
    }
    synchronized (this) {
      long sinceRequestMillis =
          TimeUnit.NANOSECONDS.toMillis(time.monotonicNanos() - lastRequestNanos);
      boolean urgent = s.get().authority().remainingMillis() < REQUEST_INTERVAL_MILLIS;
      if (everRequested && sinceRequestMillis < REQUEST_INTERVAL_MILLIS && !urgent) {
        return;
      }
      lastRequestNanos = time.monotonicNanos();
      everRequested = true;
    }
    requestPromises(s.get().authority());
  }

  private void requestPromises(Authority authority) {
    AssignmentTable currentTable = table.get();
    if (currentTable.member(self.id()).isEmpty()) {
      return;
    }
    long sentNanos = time.monotonicNanos();
    List<InstanceInfo> others =
        currentTable.members().values().stream().filter(m -> !m.id().equals(self.id())).toList();
    if (others.isEmpty()) {
      // Without other members, nothing can rule out a newer table or manifest.
      return;
    }
    PromiseRound round = new PromiseRound(authority, sentNanos, others);
    PeerMessage request =
        new PeerMessage.PromiseRequest(self.id(), currentTable.version(), PROMISE_MILLIS);
    for (InstanceInfo m : others) {
      peers
          .request(m, request, REQUEST_INTERVAL_MILLIS)
          .whenComplete((r, e) -> round.onAnswer(m, r));
    }
    timer.schedule(REQUEST_INTERVAL_MILLIS, round::finish);
    round.check();
  }

  /** Collects the answers to one round of promise requests. */
  private final class PromiseRound {
    private final Authority authority;
    private final long sentNanos;
    private final List<InstanceInfo> others;
    private int missingInCell;
    private int missingInRegion;
    private boolean extendedAuthority;
    private boolean confirmedManifest;
    private boolean newerManifest;

    PromiseRound(Authority authority, long sentNanos, List<InstanceInfo> others) {
      this.authority = authority;
      this.sentNanos = sentNanos;
      this.others = others;
      missingInCell = others.size();
      missingInRegion = (int) others.stream().filter(m -> m.region().equals(self.region())).count();
    }

    void onAnswer(InstanceInfo from, PeerMessage answer) {
      if (answer instanceof PeerMessage.PromiseReply r && r.granted()) {
        synchronized (this) {
          missingInCell--;
          missingInRegion -= from.region().equals(self.region()) ? 1 : 0;
          long ownVersion = manifests.newest().map(x -> x.version()).orElse(0L);
          newerManifest |= r.manifestVersion() > ownVersion;
        }
        check();
      }
    }

    synchronized void check() {
      if (missingInRegion == 0 && !extendedAuthority) {
        extendedAuthority = true;
        extend(authority, sentNanos);
      }
      if (missingInCell == 0 && !newerManifest && !confirmedManifest) {
        confirmedManifest = true;
        manifests.recordConfirmation(sentNanos);
      }
    }

    void finish() {
      boolean extension;
      boolean confirmation;
      synchronized (this) {
        extension = extendedAuthority;
        confirmation = confirmedManifest;
      }
      if (extension) {
        observer.accept(new EngineEvent.PromisesGathered(others.size(), confirmation));
      }
    }
  }

  private void extend(Authority authority, long sentNanos) {
    long untilNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(PROMISE_MILLIS);
    synchronized (this) {
      extendedUntilNanos =
          extended && extendedUntilNanos - untilNanos > 0 ? extendedUntilNanos : untilNanos;
      extended = true;
    }
    authority.extendAfterPromises(sentNanos, PROMISE_MILLIS);
  }

  /**
   * Sends a table to other members. Completes with the time to wait before claiming, in
   * milliseconds, when a member of the region has acknowledged the table.
   */
  CompletableFuture<Long> announce(AssignmentTable t, List<InstanceInfo> others) {
    CompletableFuture<Long> firstAck = new CompletableFuture<>();
    for (InstanceInfo m : others) {
      peers
          .request(m, new PeerMessage.AssignmentPush(t), REQUEST_INTERVAL_MILLIS)
          .whenComplete(
              (r, e) -> {
                if (r instanceof PeerMessage.AssignmentAck a
                    && a.version() >= t.version()
                    && m.region().equals(self.region())) {
                  firstAck.complete(a.waitMillis());
                }
              });
    }
    timer.schedule(
        REQUEST_INTERVAL_MILLIS,
        () ->
            firstAck.completeExceptionally(
                new IllegalStateException(
                    "no member of region "
                        + self.region()
                        + " acknowledged assignment table version "
                        + t.version())));
    return firstAck;
  }
}
