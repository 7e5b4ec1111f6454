package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.dispatch.OwnerRecord.Owner;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.Ack;
import dev.dandelionport.core.message.PeerMessage.AdviceAnswer;
import dev.dandelionport.core.message.PeerMessage.AdviceCall;
import dev.dandelionport.core.message.PeerMessage.ClaimAnswer;
import dev.dandelionport.core.message.PeerMessage.ClaimCall;
import dev.dandelionport.core.message.PeerMessage.KnownOwner;
import dev.dandelionport.core.message.PeerMessage.Member;
import dev.dandelionport.core.message.PeerMessage.MemberAnswer;
import dev.dandelionport.core.message.PeerMessage.MemberCall;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * One instance that serves workflows: takes callers' requests to the owner, helps it with advice,
 * and becomes the owner when there is none. Thread-safe.
 */
public final class WorkflowInstance {

  /** Interval at which the owner hears of this instance, in milliseconds. */
  private static final long BEAT_MILLIS = 300;

  private static final long BEAT_TIMEOUT_MILLIS = 400;

  /** Time without an answer of the owner after which this instance is not ready. */
  private static final long CONTACT_MILLIS = 1_500;

  /** Time without an answer of the owner after which its key is read. */
  private static final long SILENT_MILLIS = 800;

  /** Beats in a row that must find no process at the owner's address. */
  private static final int ENDED_BEATS = 2;

  /** Wait after a beat that found no process, in milliseconds. */
  private static final long ENDED_AGAIN_MILLIS = 60;

  /** Longest wait for the last records of an owner that stops, in milliseconds. */
  private static final long FLUSH_MILLIS = 800;

  /**
   * Least time between two offers to hand over, and before the first, in milliseconds. A take-over
   * takes up to 0.6 s, so hand-overs take little of the time even where machines come and go.
   */
  private static final long OFFER_MILLIS = 5_000;

  private static final long OFFER_TIMEOUT_MILLIS = 300;

  private final DispatchContext context;
  private final Shard shard;
  private final MemberTable members;
  private final OwnerElection election;
  private final OwnerRouter router;
  private WorkflowOwner owner;
  private long ownRevision;
  private long contactMillis = Long.MIN_VALUE / 2;
  private long offerMillis;
  private long askedMillis = Long.MIN_VALUE / 2;
  private int endedBeats;
  private boolean stopping;

  /** Creates an instance; {@link #start} runs it. */
  public WorkflowInstance(DispatchContext context) {
    this.context = context;
    this.shard =
        new Shard(
            e ->
                context.report(
                    DispatchTopic.STORE_CALL_FAILED, "call", "outgoing", "error", "" + e));
    this.members = new MemberTable(context);
    this.election = new OwnerElection(context, shard, members, this::ownerChanged);
    this.router = new OwnerRouter(context, this::callHere, this::peerOwner);
  }

  /** Starts to look for the owner. */
  public void start() {
    shard.run(election::start);
    beat();
    renew();
  }

  /** Returns whether callers can be served now. */
  public boolean isReady() {
    return shard.call(
        () ->
            !stopping
                && (owner != null && owner.isOpen()
                    || context.nowMillis() - contactMillis < CONTACT_MILLIS));
  }

  /** Returns whether this instance owns the workflows and serves them. */
  public boolean isOwner() {
    return shard.call(() -> owner != null && owner.isOpen());
  }

  private void ownerChanged(Optional<Owner> now) {
    boolean own = election.isOwn();
    members.ownerChanged();
    if (owner != null && (!own || now.get().revision() != ownRevision)) {
      owner.end();
      owner = null;
      context.report(DispatchTopic.OWNER_LOST, "token", ownRevision);
    }
    if (own && owner == null && !stopping) {
      Owner mine = now.get();
      ownRevision = mine.revision();
      WorkflowOwner o =
          new WorkflowOwner(
              context, shard, mine.revision(), () -> shard.run(() -> election.lose(mine)));
      owner = o;
      shard.runAfterUnlock(o::start);
    }
    endedBeats = 0;
    if (now.isPresent() && !own) {
      // The new owner needs the other instances at once.
      shard.runAfterUnlock(() -> tell(now.get(), () -> {}));
    }
    context.report(
        DispatchTopic.OWNER_SEEN,
        "owner",
        now.map(o -> o.info().id().value()).orElse("none"),
        "token",
        now.map(Owner::revision).orElse(0L));
  }

  private void renew() {
    shard.run(
        () ->
            election.renew(
                sent -> {
                  if (owner != null) {
                    owner.renewed(sent);
                  }
                }));
    shard.run(this::offer);
    if (!shard.call(() -> stopping)) {
      context.timer().schedule(BEAT_MILLIS / 3, this::renew);
    }
  }

  /**
   * Asks a clearly larger instance to replace this one as the owner, when nothing else is under
   * way. This one goes on until the key has changed, so that an instance which cannot write to the
   * store leaves everything as it was.
   */
  private void offer() {
    if (owner == null || !owner.isOpen()) {
      offerMillis = context.nowMillis() + OFFER_MILLIS;
    }
    if (stopping || context.nowMillis() < offerMillis) {
      return;
    }
    Optional<InstanceInfo> to = members.successor();
    if (to.isEmpty() || !owner.isCalm()) {
      return;
    }
    offerMillis = context.nowMillis() + OFFER_MILLIS;
    // Only a change of the key counts, so neither an answer nor a failure is waited for.
    ClaimCall call = new ClaimCall(ownRevision);
    shard.runAfterUnlock(() -> context.peers().request(to.get(), call, OFFER_TIMEOUT_MILLIS));
    context.report(DispatchTopic.OWNER_OFFERED, "to", to.get().id().value(), "token", ownRevision);
  }

  private void beat() {
    Optional<Owner> to = shard.call(this::peerOwner);
    if (to.isEmpty()) {
      shard.run(
          () -> {
            if (!election.isOwn() || election.isOverdue()) {
              askPeer();
            }
          });
      context.timer().schedule(BEAT_MILLIS / 3, this::beat);
      return;
    }
    tell(
        to.get(),
        () -> {
          boolean again = shard.call(() -> endedBeats > 0);
          context.timer().schedule(again ? ENDED_AGAIN_MILLIS : BEAT_MILLIS, this::beat);
        });
  }

  private MemberCall self() {
    boolean mayClaim = !stopping && election.mayClaim();
    return new MemberCall(
        new Member(context.self(), context.settings().ownerCapacity(), mayClaim),
        election.seenRevision(),
        members.wantsPeers());
  }

  private void tell(Owner to, Runnable then) {
    context
        .peers()
        .request(to.info(), shard.call(this::self), BEAT_TIMEOUT_MILLIS)
        .whenComplete(
            (m, e) -> {
              shard.run(() -> beaten(to, m, e));
              then.run();
            });
  }

  private void beaten(Owner to, PeerMessage m, Throwable e) {
    if (e == null) {
      endedBeats = 0;
      if (m instanceof MemberAnswer a) {
        learn(a);
        if (a.owner() && a.serves()) {
          contactMillis = context.nowMillis();
          members.told(a);
        }
      }
      return;
    }
    askLarger();
    askPeer();
    if (context.nowMillis() - contactMillis > SILENT_MILLIS) {
      election.verify();
    }
    Throwable cause = Failures.cause(e);
    if (!(cause instanceof PeerException p) || !p.isProcessEnded()) {
      endedBeats = 0;
    } else if (++endedBeats >= ENDED_BEATS && election.isReadable() && !stopping) {
      election.replace(to);
    }
  }

  /**
   * Asks the larger instance that should replace a silent owner whether it is there, so that a
   * claim need not wait for one that is paused or cut off.
   */
  private void askLarger() {
    members
        .larger()
        .filter(to -> !members.isAsking())
        .ifPresent(
            to -> {
              members.asked();
              MemberCall call = self();
              long timeout = members.patienceMillis();
              shard.runAfterUnlock(
                  () ->
                      context
                          .peers()
                          .request(to, call, timeout)
                          .whenComplete((m, e) -> shard.run(() -> larger(to, m, e))));
            });
  }

  /** Asks another instance for the owner, because the store may turn this one away. */
  private void askPeer() {
    long now = context.nowMillis();
    if (now - askedMillis < BEAT_MILLIS) {
      return;
    }
    askedMillis = now;
    // A peer that does not answer tells nothing; the next call goes to another one.
    MemberCall call = self();
    members
        .nextPeer()
        .ifPresent(
            to ->
                shard.runAfterUnlock(
                    () ->
                        context
                            .peers()
                            .request(to, call, BEAT_TIMEOUT_MILLIS)
                            .thenAccept(m -> shard.run(() -> learn(m)))));
  }

  private void learn(PeerMessage m) {
    if (m instanceof MemberAnswer a && a.known() != null) {
      election.learn(a.known());
    }
  }

  private void larger(InstanceInfo to, PeerMessage m, Throwable e) {
    if (e == null) {
      members.answered();
      learn(m);
    } else {
      members.unfit(to);
    }
  }

  private Optional<Owner> peerOwner() {
    return shard.call(() -> election.isOwn() ? Optional.<Owner>empty() : election.owner());
  }

  /** Takes a caller's request to the owner; completes by {@code deadlineMillis} at the latest. */
  public CompletableFuture<WorkflowAnswer> call(WorkflowCall c, long deadlineMillis) {
    return router.call(c, deadlineMillis);
  }

  private Optional<CompletableFuture<WorkflowAnswer>> callHere(WorkflowCall c) {
    return shard.call(
        () ->
            owner == null
                ? Optional.<CompletableFuture<WorkflowAnswer>>empty()
                : Optional.of(owner.call(c)));
  }

  /** Answers a message of another instance. */
  public CompletableFuture<PeerMessage> receive(PeerMessage m) {
    if (m instanceof WorkflowCall c) {
      return callHere(c)
          .orElseGet(
              () -> CompletableFuture.completedFuture(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER)))
          .thenApply(a -> a);
    } else if (m instanceof MemberCall c) {
      return CompletableFuture.completedFuture(
          shard.call(
              () -> {
                if (owner == null) {
                  return new MemberAnswer(false, false, known(c), List.of(), List.of());
                }
                owner.heard(c.member().info());
                members.heard(c.member());
                return new MemberAnswer(
                    true,
                    owner.isOpen(),
                    known(c),
                    members.largerThan(c.member().capacity()),
                    c.wantsPeers() ? members.peersFor(c.member().info()) : List.of());
              }));
    } else if (m instanceof ClaimCall c) {
      return CompletableFuture.completedFuture(
          shard.call(() -> new ClaimAnswer(!stopping && election.claimAsked(c.revision()))));
    } else if (m instanceof AdviceCall c) {
      return context
          .advice()
          .requestAdvice(c.step(), c.runners(), c.timeoutMillis())
          .handle(
              (a, e) ->
                  e == null
                      ? new AdviceAnswer(a.tickets(), a.validMillis())
                      : new AdviceAnswer(null, 0));
    }
    return CompletableFuture.completedFuture(new Ack());
  }

  /** Returns the owner that this instance knows, if the caller has not seen its key. */
  private KnownOwner known(MemberCall c) {
    return election
        .owner()
        .filter(o -> o.revision() > c.ownerRevision())
        .map(o -> new KnownOwner(o.info(), o.revision(), o.lease()))
        .orElse(null);
  }

  /** Hands the workflows over; requests are still taken to the next owner afterwards. */
  public CompletableFuture<Void> handOver() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    shard.run(() -> stopping = true);
    flush(context.nowMillis() + FLUSH_MILLIS, done);
    return done;
  }

  private void flush(long deadline, CompletableFuture<Void> done) {
    boolean ready =
        shard.call(() -> owner == null || owner.isDrained() || context.nowMillis() >= deadline);
    if (!ready) {
      context.timer().schedule(10, () -> flush(deadline, done));
      return;
    }
    shard.run(election::stop);
    done.complete(null);
  }
}
