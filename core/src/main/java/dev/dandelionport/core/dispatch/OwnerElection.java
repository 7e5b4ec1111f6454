package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.Shard;
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
 * Knows which instance owns the workflows, and claims them when nobody does. A claim may replace an
 * owner that is still alive: the journal's transactions demand the owner's key, and runners refuse
 * its token. Guarded by the instance's shard.
 */
final class OwnerElection {

  private static final long WATCH_MILLIS = 5_000;
  private static final long RETRY_MILLIS = 100;

  /** Time that a larger instance has for its claim, in milliseconds; it is two calls. */
  private static final long CLAIM_MILLIS = 150;

  /** Wait before the key is read again while no owner is known and the store fails. */
  private static final long NO_OWNER_MILLIS = 250;

  /** Part of the session's life after which it is renewed. */
  private static final int RENEW_PARTS = 4;

  private final DispatchContext context;
  private final Shard shard;
  private final MemberTable members;
  private final PrefixWatch watch;
  private final Consumer<Optional<Owner>> changed;
  private Optional<Owner> owner = Optional.empty();
  private boolean claiming;
  private boolean stopped;
  private long renewedMillis;
  private long keptMillis;

  /** Highest revision of the owner's key that was seen. */
  private long seenRevision;

  /** Creates an election; {@code changed} is called with the lock held. */
  OwnerElection(
      DispatchContext context,
      Shard shard,
      MemberTable members,
      Consumer<Optional<Owner>> changed) {
    this.context = context;
    this.shard = shard;
    this.members = members;
    this.changed = changed;
    this.watch = new PrefixWatch(context, shard, StoreKeys.OWNER, WATCH_MILLIS, this::read);
  }

  void start() {
    watch.start();
  }

  /** Claims nothing any more, and gives up what it has. */
  void stop() {
    stopped = true;
    if (isOwn()) {
      long lease = owner.get().lease();
      shard.runAfterUnlock(() -> endQuietly(lease));
      owner = Optional.empty();
      changed.accept(owner);
    }
  }

  Optional<Owner> owner() {
    return owner;
  }

  boolean isOwn() {
    return owner.isPresent() && owner.get().info().equals(context.self());
  }

  boolean isReadable() {
    return watch.isListed() && !watch.isFailing();
  }

  /** Returns the highest revision of the owner's key that was seen. */
  long seenRevision() {
    return seenRevision;
  }

  /** Takes over the owner that another instance has seen, unless a newer one was seen here. */
  void learn(KnownOwner o) {
    if (o.revision() > seenRevision) {
      see(Optional.of(new Owner(o.info(), o.revision(), o.lease())));
    }
  }

  /** Returns whether the own lease may have ended, because no renewal of it succeeded. */
  boolean isOverdue() {
    return isOwn() && context.nowMillis() - keptMillis > context.settings().sessionMillis();
  }

  private void read() {
    if (watch.revision() < seenRevision) {
      // A claim or another instance told of a change that the watch has yet to see.
      return;
    }
    Optional<Entry> entry =
        watch.entries().stream().filter(e -> e.key().equals(StoreKeys.OWNER)).findFirst();
    see(entry.flatMap(this::decode));
  }

  /** Decodes the owner's key; one that cannot be read names no owner. */
  private Optional<Owner> decode(Entry e) {
    try {
      return Optional.of(OwnerRecord.decode(e));
    } catch (IllegalArgumentException x) {
      context.report(DispatchTopic.ENTRY_IGNORED, "key", e.key(), "revision", e.revision());
      return Optional.empty();
    }
  }

  private void see(Optional<Owner> found) {
    boolean older =
        found.isPresent() && owner.isPresent() && found.get().revision() < owner.get().revision();
    if (older) {
      return;
    }
    if (!found.equals(owner)) {
      owner = found;
      seenRevision = Math.max(seenRevision, found.map(Owner::revision).orElse(0L));
      changed.accept(owner);
    }
    if (found.isEmpty()) {
      claim(SharedStore.ABSENT);
    }
  }

  /** Reads the key, because the owner is silent and the watch may be, too. */
  void verify() {
    if (!claiming && !stopped && watch.isListed()) {
      claiming = true;
      check(0);
    }
  }

  /** Replaces an owner whose process has ended. */
  void replace(Owner former) {
    if (owner.filter(o -> o.revision() == former.revision()).isPresent()) {
      claim(former.revision());
    }
  }

  /** Returns whether this instance could claim the workflows now. */
  boolean mayClaim() {
    return !stopped && isReadable();
  }

  /**
   * Claims the workflows because another instance asks for it; returns whether it does, or owns
   * them already.
   */
  boolean claimAsked(long revision) {
    if (!mayClaim()) {
      return false;
    }
    if (!claiming && !isOwn()) {
      claiming = true;
      commit(revision);
    }
    return true;
  }

  /**
   * Claims the workflows if the owner's key still has a revision. A clearly larger instance that is
   * there is asked to do it first, and has a short time for it.
   */
  private void claim(long revision) {
    if (claiming || stopped || !watch.isListed()) {
      return;
    }
    claiming = true;
    Optional<InstanceInfo> larger = members.larger();
    if (larger.isEmpty()) {
      commit(revision);
      return;
    }
    InstanceInfo to = larger.get();
    long patience = members.patienceMillis();
    shard.runAfterUnlock(
        () ->
            context
                .peers()
                .request(to, new ClaimCall(revision), patience)
                .whenComplete((m, e) -> shard.run(() -> asked(to, m, revision))));
  }

  private void asked(InstanceInfo larger, PeerMessage m, long revision) {
    if (m instanceof ClaimAnswer a && a.claims()) {
      context.later(shard, CLAIM_MILLIS, () -> claimAfter(revision));
    } else {
      members.unfit(larger);
      claimAfter(revision);
    }
  }

  /** Claims the workflows if no other instance did so in the meantime. */
  private void claimAfter(long revision) {
    long current = owner.map(Owner::revision).orElse(SharedStore.ABSENT);
    if (stopped || current != revision && current != SharedStore.ABSENT) {
      claiming = false;
    } else {
      commit(current);
    }
  }

  private void commit(long revision) {
    shard.runAfterUnlock(
        () ->
            context
                .store()
                .grantLease(context.settings().sessionMillis())
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
                            .thenApply(o -> new Claimed(lease, o)))
                .whenComplete((c, e) -> shard.run(() -> claimed(c, e))));
  }

  private record Claimed(long lease, SharedStore.Outcome outcome) {}

  private void claimed(Claimed c, Throwable e) {
    if (e == null && c.outcome() instanceof SharedStore.Committed done) {
      claiming = false;
      final Optional<Owner> former = owner;
      renewedMillis = context.nowMillis();
      keptMillis = renewedMillis;
      see(Optional.of(new Owner(context.self(), done.revision(), c.lease())));
      former
          .filter(f -> f.lease() != SharedStore.NO_LEASE && !f.info().equals(context.self()))
          .ifPresent(f -> shard.runAfterUnlock(() -> endQuietly(f.lease())));
      return;
    }
    // The claim may have been carried out all the same; the key tells.
    check(e == null ? 0 : RETRY_MILLIS);
  }

  /** Reads the key after a while and acts on what it says. */
  private void check(long delayMillis) {
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
                            .whenComplete((x, e2) -> shard.run(() -> checked(x, e2)))));
  }

  private void endQuietly(long lease) {
    context
        .store()
        .revokeLease(lease)
        .whenComplete(
            (v, e) -> {
              if (e != null) {
                // The lease then runs out by itself.
                context.report(
                    DispatchTopic.STORE_CALL_FAILED, "call", "end", "error", e.toString());
              }
            });
  }

  private void checked(Optional<Entry> entry, Throwable e) {
    claiming = false;
    if (stopped) {
      return;
    }
    if (e != null) {
      // Whoever finds a known owner silent reads again; without one, and without a change of the
      // key that the watch could tell of, nobody would.
      if (owner.isEmpty()) {
        claiming = true;
        check(NO_OWNER_MILLIS);
      }
      return;
    }
    see(entry.flatMap(this::decode));
  }

  /** Renews the own lease when it is time; {@code renewed} gets the time of the call. */
  void renew(Consumer<Long> renewed) {
    long now = context.nowMillis();
    if (!isOwn() || now - renewedMillis < context.settings().sessionMillis() / RENEW_PARTS) {
      return;
    }
    renewedMillis = now;
    final Owner mine = owner.get();
    shard.runAfterUnlock(
        () ->
            context
                .store()
                .renewLease(mine.lease())
                .whenComplete(
                    (ok, e) ->
                        shard.run(
                            () -> {
                              if (e != null) {
                                // The next try comes soon; without any the lease runs out.
                                context.report(
                                    DispatchTopic.STORE_CALL_FAILED,
                                    "call",
                                    "renew",
                                    "millis",
                                    context.nowMillis() - now,
                                    "error",
                                    Failures.cause(e).toString());
                              } else if (ok) {
                                keptMillis = Math.max(keptMillis, now);
                                renewed.accept(now);
                              } else if (owner.equals(Optional.of(mine))) {
                                lose(mine);
                              }
                            })));
  }

  /** Notes that the own key no longer stands. */
  void lose(Owner mine) {
    if (owner.equals(Optional.of(mine)) && isOwn()) {
      owner = Optional.empty();
      changed.accept(owner);
      claiming = true;
      check(0);
    }
  }
}
