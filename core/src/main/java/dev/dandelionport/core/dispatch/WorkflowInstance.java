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
 * An instance of the workflow service. It routes client requests to the owner, makes advice calls
 * for it, and becomes the owner when there is none. Thread-safe.
 */
public final class WorkflowInstance {

  /** Interval of heartbeats to the owner, in milliseconds. */
  private static final long HEARTBEAT_MILLIS = 300;

  private static final long HEARTBEAT_TIMEOUT_MILLIS = 400;

  /**
   * Time without an answer of the owner after which this instance is not ready, in milliseconds.
   */
  private static final long READY_CONTACT_MILLIS = 1_500;

  /** Time without an answer of the owner after which the owner key is read, in milliseconds. */
  private static final long OWNER_UNRESPONSIVE_MILLIS = 800;

  /**
   * Consecutive heartbeats that must find no process at the owner's address before the owner is
   * replaced.
   */
  private static final int MIN_PROCESS_ENDED_COUNT = 2;

  /** Delay after a heartbeat that found no process at the owner's address, in milliseconds. */
  private static final long PROCESS_ENDED_RETRY_MILLIS = 60;

  /** Longest wait for the last records to be stored when the owner stops, in milliseconds. */
  private static final long FLUSH_TIMEOUT_MILLIS = 800;

  /**
   * Shortest time between two offers to hand over, and before the first, in milliseconds. A
   * takeover takes up to 0.6 s, so hand-overs take little of the time even where machines often
   * join and leave.
   */
  private static final long OFFER_INTERVAL_MILLIS = 5_000;

  private static final long OFFER_TIMEOUT_MILLIS = 300;

  private final DispatchContext context;
  private final Shard shard;
  private final MemberTable members;
  private final OwnerElection election;
  private final OwnerRouter router;
  private WorkflowOwner owner;
  private long ownerRevision;
  private long ownerContactMillis = Long.MIN_VALUE / 2;
  private long nextOfferMillis;
  private long nextSubstituteMillis = Long.MIN_VALUE;
  private int substituteAttempts;
  private long peerCallMillis = Long.MIN_VALUE / 2;
  private int processEndedCount;
  private boolean stopping;

  /** Creates an instance; {@link #start} starts it. */
  public WorkflowInstance(DispatchContext context) {
    this.context = context;
    this.shard =
        new Shard(
            e ->
                context.report(
                    DispatchTopic.STORE_CALL_FAILED, "call", "outgoing", "error", "" + e));
    this.members = new MemberTable(context);
    this.election = new OwnerElection(context, shard, members, this::ownerChanged);
    this.router = new OwnerRouter(context, this::callLocalOwner, this::remoteOwner);
  }

  /** Starts to follow the owner key, and starts heartbeats and lease renewals. */
  public void start() {
    shard.run(election::start);
    heartbeat();
    renew();
  }

  /** Returns whether client requests can be served now. */
  public boolean isReady() {
    return shard.call(
        () ->
            !stopping
                && (owner != null && owner.isOpen()
                    || context.nowMillis() - ownerContactMillis < READY_CONTACT_MILLIS));
  }

  /** Returns whether this instance owns the workflows and serves them. */
  public boolean isOwner() {
    return shard.call(() -> owner != null && owner.isOpen());
  }

  private void ownerChanged(Optional<Owner> newOwner) {
    boolean own = election.isOwner();
    members.ownerChanged();
    if (owner != null && (!own || newOwner.get().revision() != ownerRevision)) {
      owner.close();
      owner = null;
      context.report(DispatchTopic.OWNER_LOST, "token", ownerRevision);
    }
    if (own && owner == null && !stopping) {
      Owner ownKey = newOwner.get();
      ownerRevision = ownKey.revision();
      WorkflowOwner o =
          new WorkflowOwner(
              context,
              shard,
              ownKey.revision(),
              election::ownership,
              () -> shard.run(() -> election.ownershipLost(ownKey)));
      owner = o;
      shard.runAfterUnlock(o::start);
    }
    processEndedCount = 0;
    if (newOwner.isPresent() && !own) {
      // The new owner needs the heartbeats of the other instances immediately.
      shard.runAfterUnlock(() -> sendHeartbeat(newOwner.get(), () -> {}));
    }
    context.report(
        DispatchTopic.OWNER_CHANGED,
        "owner",
        newOwner.map(o -> o.info().id().value()).orElse("none"),
        "token",
        newOwner.map(Owner::revision).orElse(0L));
  }

  private void renew() {
    try {
      shard.run(
          () ->
              election.renew(
                  sent -> {
                    if (owner != null) {
                      owner.leaseRenewed(sent);
                    }
                  }));
      shard.run(this::offerHandOver);
      shard.run(this::requestSubstitute);
    } finally {
      if (!shard.call(() -> stopping)) {
        context.timer().schedule(HEARTBEAT_MILLIS / 3, this::renew);
      }
    }
  }

  /**
   * Offers the ownership to a clearly larger instance if it can be handed over safely now. This
   * instance remains the owner until the owner key has changed, so an instance that cannot write to
   * the store changes nothing.
   */
  private void offerHandOver() {
    if (owner == null || !owner.isOpen()) {
      nextOfferMillis = context.nowMillis() + OFFER_INTERVAL_MILLIS;
    }
    if (stopping || context.nowMillis() < nextOfferMillis) {
      return;
    }
    Optional<InstanceInfo> to = members.successor();
    if (to.isEmpty() || !owner.canHandOver()) {
      return;
    }
    nextOfferMillis = context.nowMillis() + OFFER_INTERVAL_MILLIS;
    offer(to.get(), DispatchTopic.HAND_OVER_OFFERED);
  }

  /**
   * Requests another instance to claim the workflows while the store does not serve this one.
   * Otherwise nothing can be accepted or started until the lease has expired.
   */
  private void requestSubstitute() {
    long now = context.nowMillis();
    if (owner == null || stopping || !election.isOwnerWithoutStore()) {
      substituteAttempts = 0;
      return;
    }
    if (now >= nextSubstituteMillis) {
      nextSubstituteMillis = now + OFFER_TIMEOUT_MILLIS;
      members
          .substitute(substituteAttempts++)
          .ifPresent(to -> offer(to, DispatchTopic.SUBSTITUTE_REQUESTED));
    }
  }

  private void offer(InstanceInfo to, DispatchTopic reason) {
    // Only a change of the owner key has an effect, so neither an answer nor a failure is awaited.
    ClaimCall call = new ClaimCall(ownerRevision);
    election.recordClaimRequest();
    shard.runAfterUnlock(() -> context.peers().request(to, call, OFFER_TIMEOUT_MILLIS));
    context.report(reason, "to", to.id().value(), "token", ownerRevision);
  }

  private void heartbeat() {
    Optional<Owner> to = shard.call(this::remoteOwner);
    if (to.isEmpty()) {
      shard.run(
          () -> {
            if (!election.isOwner()
                || election.isRenewalOverdue()
                || election.isOwnerWithoutStore()) {
              requestOwnerFromPeer();
            }
          });
      context.timer().schedule(HEARTBEAT_MILLIS / 3, this::heartbeat);
      return;
    }
    sendHeartbeat(
        to.get(),
        () -> {
          boolean processEnded = shard.call(() -> processEndedCount > 0);
          context
              .timer()
              .schedule(
                  processEnded ? PROCESS_ENDED_RETRY_MILLIS : HEARTBEAT_MILLIS, this::heartbeat);
        });
  }

  private MemberCall memberCall() {
    boolean mayClaim = !stopping && election.mayClaim();
    return new MemberCall(
        new Member(context.self(), context.settings().ownerCapacity(), mayClaim),
        election.highestRevision(),
        members.needsPeers());
  }

  private void sendHeartbeat(Owner to, Runnable onCompletion) {
    context
        .peers()
        .request(to.info(), shard.call(this::memberCall), HEARTBEAT_TIMEOUT_MILLIS)
        .whenComplete(
            (m, e) -> {
              shard.run(() -> heartbeatCompleted(to, m, e));
              onCompletion.run();
            });
  }

  private void heartbeatCompleted(Owner to, PeerMessage m, Throwable e) {
    if (e == null) {
      processEndedCount = 0;
      if (m instanceof MemberAnswer a) {
        adoptOwner(a);
        if (a.owner() && a.serves()) {
          ownerContactMillis = context.nowMillis();
          members.setCandidates(a);
        }
      }
      return;
    }
    probeLargerInstance();
    requestOwnerFromPeer();
    if (context.nowMillis() - ownerContactMillis > OWNER_UNRESPONSIVE_MILLIS) {
      election.refreshOwner();
    }
    Throwable cause = Failures.cause(e);
    if (!(cause instanceof PeerException p) || !p.isProcessEnded()) {
      processEndedCount = 0;
    } else if (++processEndedCount >= MIN_PROCESS_ENDED_COUNT
        && election.isReadable()
        && !stopping) {
      election.replaceOwner(to);
    }
  }

  /**
   * Probes the larger instance that should replace an unresponsive owner, so that a claim does not
   * wait for one that is paused or disconnected.
   */
  private void probeLargerInstance() {
    members
        .preferredClaimant()
        .filter(to -> !members.isProbePending())
        .ifPresent(
            to -> {
              members.probeSent();
              MemberCall call = memberCall();
              long timeoutMillis = members.probeTimeoutMillis();
              shard.runAfterUnlock(
                  () ->
                      context
                          .peers()
                          .request(to, call, timeoutMillis)
                          .whenComplete((m, e) -> shard.run(() -> probeCompleted(to, m, e))));
            });
  }

  /** Queries another instance for the current owner, as the store may reject this one's calls. */
  private void requestOwnerFromPeer() {
    long now = context.nowMillis();
    if (now - peerCallMillis < HEARTBEAT_MILLIS) {
      return;
    }
    peerCallMillis = now;
    // A failed call is ignored; the next one goes to another peer.
    MemberCall call = memberCall();
    members
        .nextPeer()
        .ifPresent(
            to ->
                shard.runAfterUnlock(
                    () ->
                        context
                            .peers()
                            .request(to, call, HEARTBEAT_TIMEOUT_MILLIS)
                            .thenAccept(m -> shard.run(() -> adoptOwner(m)))));
  }

  private void adoptOwner(PeerMessage m) {
    if (m instanceof MemberAnswer a && a.known() != null) {
      election.adoptOwner(a.known());
    }
  }

  private void probeCompleted(InstanceInfo to, PeerMessage m, Throwable e) {
    if (e == null) {
      members.probeAnswered();
      adoptOwner(m);
    } else {
      members.removeCandidate(to);
    }
  }

  private Optional<Owner> remoteOwner() {
    return shard.call(() -> election.isOwner() ? Optional.<Owner>empty() : election.owner());
  }

  /** Routes a client request to the owner; completes by {@code deadlineMillis} at the latest. */
  public CompletableFuture<WorkflowAnswer> call(WorkflowCall c, long deadlineMillis) {
    return router.call(c, deadlineMillis);
  }

  private Optional<CompletableFuture<WorkflowAnswer>> callLocalOwner(WorkflowCall c) {
    return shard.call(
        () ->
            owner == null
                ? Optional.<CompletableFuture<WorkflowAnswer>>empty()
                : Optional.of(owner.call(c)));
  }

  /** Handles a message from another instance and returns the answer. */
  public CompletableFuture<PeerMessage> receive(PeerMessage m) {
    if (m instanceof WorkflowCall c) {
      return callLocalOwner(c)
          .orElseGet(
              () -> CompletableFuture.completedFuture(WorkflowAnswer.of(WorkflowStatus.NOT_OWNER)))
          .thenApply(a -> a);
    } else if (m instanceof MemberCall c) {
      return CompletableFuture.completedFuture(
          shard.call(
              () -> {
                if (owner == null) {
                  return new MemberAnswer(false, false, newerOwner(c), List.of(), List.of());
                }
                owner.recordContact(c.member().info());
                members.recordMember(c.member());
                return new MemberAnswer(
                    true,
                    owner.isOpen(),
                    newerOwner(c),
                    members.largerThan(c.member().capacity()),
                    c.wantsPeers() ? members.peersFor(c.member().info()) : List.of());
              }));
    } else if (m instanceof ClaimCall c) {
      return CompletableFuture.completedFuture(
          shard.call(() -> new ClaimAnswer(!stopping && election.claimOnRequest(c.revision()))));
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

  /**
   * Returns the owner known to this instance if it is newer than the one known to the sender,
   * otherwise null.
   */
  private KnownOwner newerOwner(MemberCall c) {
    return election
        .owner()
        .filter(o -> o.revision() > c.ownerRevision())
        .map(o -> new KnownOwner(o.info(), o.revision(), o.lease()))
        .orElse(null);
  }

  /**
   * Stops owning the workflows once pending records are stored or a timeout has passed; requests
   * are still routed to the next owner afterwards.
   */
  public CompletableFuture<Void> handOver() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    shard.run(() -> stopping = true);
    flush(context.nowMillis() + FLUSH_TIMEOUT_MILLIS, done);
    return done;
  }

  private void flush(long deadline, CompletableFuture<Void> done) {
    boolean ready =
        shard.call(() -> owner == null || owner.isFlushed() || context.nowMillis() >= deadline);
    if (!ready) {
      context.timer().schedule(10, () -> flush(deadline, done));
      return;
    }
    shard.run(election::stop);
    done.complete(null);
  }
}
