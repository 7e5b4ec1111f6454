package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.dispatch.OwnerLease.CallTime;
import dev.dandelionport.core.dispatch.OwnerRecord.Owner;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.ClaimAnswer;
import dev.dandelionport.core.message.PeerMessage.ClaimCall;
import dev.dandelionport.core.message.PeerMessage.KnownOwner;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.SharedStore;
import dev.dandelionport.core.port.SharedStore.Condition;
import dev.dandelionport.core.port.SharedStore.Entry;
import dev.dandelionport.core.port.SharedStore.Transaction;
import dev.dandelionport.core.port.SharedStore.Write;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Tracks which instance owns the workflows, and claims them when there is no owner. A claim may
 * replace an owner that is still running. This is safe because the journal's transactions require
 * the owner's key and runners reject an outdated fencing token. Guarded by the instance's shard.
 */
final class OwnerElection {

  private static final long WATCH_WAIT_MILLIS = 5_000;
  private static final long RETRY_MILLIS = 100;

  /**
   * Time that a larger instance has for its claim, in milliseconds; the claim takes two store
   * calls.
   */
  private static final long CLAIM_WAIT_MILLIS = 150;

  /**
   * Delay before the owner key is read again while no owner is known and the store fails, in
   * milliseconds.
   */
  private static final long NO_OWNER_RETRY_MILLIS = 250;

  /** Number of renewals in the time to live of the owner's lease. */
  private static final int RENEWALS_PER_LEASE = 4;

  /** Time by which a claim that another instance was asked for has been made, in milliseconds. */
  private static final long CLAIM_MILLIS = 600;

  /** Consecutive failed renewals from which the store counts as unavailable to this instance. */
  private static final int MIN_FAILED_RENEWALS = 2;

  private final DispatchContext context;
  private final Shard shard;
  private final MemberTable members;
  private final PrefixWatch watch;
  private final Consumer<Optional<Owner>> ownerListener;
  private Optional<Owner> owner = Optional.empty();
  private boolean claiming;
  private boolean stopped;
  private long renewalSentMillis;

  /** Number of renewals that have failed since the latest successful one. */
  private int failedRenewals;

  /** Whether another instance was asked to claim from this one and may have done so. */
  private boolean claimRequested;

  private long claimRequestedMillis;

  /** Lease of this instance while it is the owner. */
  private final OwnerLease lease;

  /** Highest revision of the owner key received so far. */
  private long highestRevision;

  /** Creates an election; {@code ownerListener} is called with the lock held. */
  OwnerElection(
      DispatchContext context,
      Shard shard,
      MemberTable members,
      Consumer<Optional<Owner>> ownerListener) {
    this.context = context;
    this.shard = shard;
    this.members = members;
    this.ownerListener = ownerListener;
    this.lease = new OwnerLease(context);
    this.watch =
        new PrefixWatch(context, shard, StoreKeys.OWNER, WATCH_WAIT_MILLIS, this::watchChanged);
  }

  void start() {
    watch.start();
  }

  /** Stops claiming, and ends the lease if this instance is the owner. */
  void stop() {
    stopped = true;
    if (isOwner()) {
      long lease = owner.get().lease();
      shard.runAfterUnlock(() -> endLease(lease));
      owner = Optional.empty();
      ownerListener.accept(owner);
    }
  }

  Optional<Owner> owner() {
    return owner;
  }

  boolean isOwner() {
    return owner.isPresent() && owner.get().info().equals(context.self());
  }

  boolean isReadable() {
    return watch.isListed() && !watch.isFailing();
  }

  /** Returns the highest revision of the owner key received so far. */
  long highestRevision() {
    return highestRevision;
  }

  /** Adopts the owner reported by another instance, unless a newer one is already known. */
  void adoptOwner(KnownOwner o) {
    if (o.revision() > highestRevision) {
      updateOwner(Optional.of(new Owner(o.info(), o.revision(), o.lease())));
    }
  }

  /**
   * Returns whether the lease of this instance may have expired, because no renewal succeeded in
   * time.
   */
  boolean isRenewalOverdue() {
    return isOwner() && !lease.isValid();
  }

  /** Returns whether this instance is the owner but the store does not serve it. */
  boolean isOwnerWithoutStore() {
    return isOwner() && failedRenewals >= MIN_FAILED_RENEWALS;
  }

  /** Records that another instance is asked to claim from this one. */
  void recordClaimRequest() {
    claimRequested = true;
    claimRequestedMillis = context.nowMillis();
  }

  /** Returns what this instance knows of its ownership now. */
  Ownership ownership() {
    return new Ownership(
        isOwner() && lease.isValid(),
        isOwnerWithoutStore(),
        claimRequested,
        lease.confirmedAgeMillis());
  }

  private void watchChanged() {
    if (watch.revision() < highestRevision) {
      // A claim or another instance has already reported a newer owner than the watch.
      return;
    }
    Optional<Entry> entry =
        watch.entries().stream().filter(e -> e.key().equals(StoreKeys.OWNER)).findFirst();
    updateOwner(entry.flatMap(this::decodeOwner));
  }

  /** Decodes the owner key; empty if it cannot be decoded. */
  private Optional<Owner> decodeOwner(Entry e) {
    try {
      return Optional.of(OwnerRecord.decode(e));
    } catch (IllegalArgumentException x) {
      context.report(DispatchTopic.ENTRY_IGNORED, "key", e.key(), "revision", e.revision());
      return Optional.empty();
    }
  }

  private void updateOwner(Optional<Owner> newOwner) {
    boolean outdated =
        newOwner.isPresent()
            && owner.isPresent()
            && newOwner.get().revision() < owner.get().revision();
    if (outdated) {
      return;
    }
    if (!newOwner.equals(owner)) {
      owner = newOwner;
      highestRevision = Math.max(highestRevision, newOwner.map(Owner::revision).orElse(0L));
      ownerListener.accept(owner);
    }
    if (newOwner.isEmpty()) {
      claim(SharedStore.ABSENT);
    }
  }

  /**
   * Reads the owner key from the store, because the owner does not answer and the watch may be
   * stalled too.
   */
  void refreshOwner() {
    if (!claiming && !stopped && watch.isListed()) {
      claiming = true;
      readOwnerKey(0);
    }
  }

  /** Claims the workflows from an owner whose process has ended. */
  void replaceOwner(Owner former) {
    if (owner.filter(o -> o.revision() == former.revision()).isPresent()) {
      claim(former.revision());
    }
  }

  /** Returns whether this instance could claim the workflows now. */
  boolean mayClaim() {
    return !stopped && isReadable();
  }

  /**
   * Claims the workflows on request of another instance; returns whether it claims or already owns
   * them.
   */
  boolean claimOnRequest(long revision) {
    if (!mayClaim()) {
      return false;
    }
    if (!claiming && !isOwner()) {
      claiming = true;
      commitClaim(revision);
    }
    return true;
  }

  /**
   * Claims the workflows if the owner key still has the given revision. If a clearly larger
   * instance is available, it is requested to claim first and has a short time for it.
   */
  private void claim(long revision) {
    if (claiming || stopped || !watch.isListed()) {
      return;
    }
    claiming = true;
    Optional<InstanceInfo> larger = members.preferredClaimant();
    if (larger.isEmpty()) {
      commitClaim(revision);
      return;
    }
    InstanceInfo to = larger.get();
    long timeoutMillis = members.probeTimeoutMillis();
    shard.runAfterUnlock(
        () ->
            context
                .peers()
                .request(to, new ClaimCall(revision), timeoutMillis)
                .whenComplete((m, e) -> shard.run(() -> claimRequestAnswered(to, m, revision))));
  }

  private void claimRequestAnswered(InstanceInfo larger, PeerMessage m, long revision) {
    if (m instanceof ClaimAnswer a && a.claims()) {
      context.schedule(shard, CLAIM_WAIT_MILLIS, () -> claimUnlessReplaced(revision));
    } else {
      members.removeCandidate(larger);
      claimUnlessReplaced(revision);
    }
  }

  /** Claims the workflows unless another instance has claimed them in the meantime. */
  private void claimUnlessReplaced(long revision) {
    long current = owner.map(Owner::revision).orElse(SharedStore.ABSENT);
    if (stopped || current != revision && current != SharedStore.ABSENT) {
      claiming = false;
    } else {
      commitClaim(current);
    }
  }

  private void commitClaim(long revision) {
    CallTime sent = CallTime.now(context);
    shard.runAfterUnlock(
        () ->
            context
                .store()
                .grantLease(context.settings().ownerLeaseMillis())
                .thenCompose(
                    lease ->
                        context
                            .store()
                            .commit(
                                new Transaction(
                                    List.of(new Condition(StoreKeys.OWNER, revision)),
                                    List.of(
                                        new Write(
                                            StoreKeys.OWNER,
                                            OwnerRecord.encode(context.self()),
                                            lease)),
                                    List.of()))
                            .thenApply(o -> new ClaimResult(lease, sent, o)))
                .whenComplete((c, e) -> shard.run(() -> claimCompleted(c, e))));
  }

  private record ClaimResult(long lease, CallTime sent, SharedStore.Outcome outcome) {}

  private void claimCompleted(ClaimResult c, Throwable e) {
    if (e == null && c.outcome() instanceof SharedStore.Committed committed) {
      claiming = false;
      final Optional<Owner> former = owner;
      renewalSentMillis = context.nowMillis();
      failedRenewals = 0;
      claimRequested = false;
      lease.grant(c.sent(), context.settings().ownerLeaseMillis());
      updateOwner(Optional.of(new Owner(context.self(), committed.revision(), c.lease())));
      former
          .filter(f -> f.lease() != SharedStore.NO_LEASE && !f.info().equals(context.self()))
          .ifPresent(f -> shard.runAfterUnlock(() -> endLease(f.lease())));
      return;
    }
    // The claim may have been committed even without an answer, so the key is read.
    readOwnerKey(e == null ? 0 : RETRY_MILLIS);
  }

  /** Reads the owner key after a delay and updates the owner from it. */
  private void readOwnerKey(long delayMillis) {
    shard.runAfterUnlock(
        () ->
            context
                .timer()
                .schedule(
                    delayMillis,
                    () ->
                        context
                            .store()
                            .get(StoreKeys.OWNER)
                            .whenComplete((x, e2) -> shard.run(() -> ownerKeyRead(x, e2)))));
  }

  private void endLease(long lease) {
    context
        .store()
        .revokeLease(lease)
        .whenComplete(
            (v, e) -> {
              if (e != null) {
                // The lease then expires on its own.
                context.report(
                    DispatchTopic.STORE_CALL_FAILED, "call", "end", "error", e.toString());
              }
            });
  }

  private void ownerKeyRead(Optional<Entry> entry, Throwable e) {
    claiming = false;
    if (stopped) {
      return;
    }
    if (e != null) {
      // A failed heartbeat to a known owner triggers another read. Without an owner, and without a
      // change of the key that the watch could report, nothing else would.
      if (owner.isEmpty()) {
        claiming = true;
        readOwnerKey(NO_OWNER_RETRY_MILLIS);
      }
      return;
    }
    updateOwner(entry.flatMap(this::decodeOwner));
  }

  /**
   * Renews the lease of this instance when it is due; {@code renewed} receives the time at which
   * the call was sent.
   */
  void renew(Consumer<Long> renewed) {
    long now = context.nowMillis();
    long intervalMillis = context.settings().ownerLeaseMillis() / RENEWALS_PER_LEASE;
    if (!isOwner() || failedRenewals == 0 && now - renewalSentMillis < intervalMillis) {
      return;
    }
    renewalSentMillis = now;
    final CallTime sent = CallTime.now(context);
    final long ttlMillis = context.settings().ownerLeaseMillis();
    final Owner ownKey = owner.get();
    shard.runAfterUnlock(
        () ->
            context
                .store()
                .renewLease(ownKey.lease())
                .whenComplete(
                    (ok, e) ->
                        shard.run(
                            () -> {
                              if (e != null) {
                                failedRenewals++;
                                // The renewal is retried soon; if all retries fail, the lease
                                // expires.
                                context.report(
                                    DispatchTopic.STORE_CALL_FAILED,
                                    "call",
                                    "renew",
                                    "millis",
                                    context.nowMillis() - now,
                                    "error",
                                    Failures.cause(e).toString());
                              } else if (ok) {
                                failedRenewals = 0;
                                claimRequested &= now - claimRequestedMillis < CLAIM_MILLIS;
                                lease.extend(sent, ttlMillis);
                                renewed.accept(now);
                              } else if (owner.equals(Optional.of(ownKey))) {
                                ownershipLost(ownKey);
                              }
                            })));
  }

  /** Handles the loss of this instance's owner key, and reads the key again. */
  void ownershipLost(Owner ownKey) {
    if (owner.equals(Optional.of(ownKey)) && isOwner()) {
      owner = Optional.empty();
      ownerListener.accept(owner);
      claiming = true;
      readOwnerKey(0);
    }
  }
}
