package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.dispatch.OwnerRecord.Owner;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.message.PeerMessage.Ack;
import dev.dandelionport.core.message.PeerMessage.AdviceAnswer;
import dev.dandelionport.core.message.PeerMessage.AdviceCall;
import dev.dandelionport.core.message.PeerMessage.MemberAnswer;
import dev.dandelionport.core.message.PeerMessage.MemberCall;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.port.PeerException;
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

  private final DispatchContext context;
  private final Shard shard;
  private final OwnerElection election;
  private final OwnerRouter router;
  private WorkflowOwner owner;
  private long ownRevision;
  private long contactMillis = Long.MIN_VALUE / 2;
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
    this.election = new OwnerElection(context, shard, this::ownerChanged);
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
      shard.afterwards(o::start);
    }
    endedBeats = 0;
    if (now.isPresent() && !own) {
      // The new owner needs the other instances at once.
      shard.afterwards(() -> tell(now.get(), () -> {}));
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
    if (!shard.call(() -> stopping)) {
      context.timer().schedule(BEAT_MILLIS / 3, this::renew);
    }
  }

  private void beat() {
    Optional<Owner> to = shard.call(this::peerOwner);
    if (to.isEmpty()) {
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

  private void tell(Owner to, Runnable then) {
    context
        .peers()
        .request(to.info(), new MemberCall(context.self()), BEAT_TIMEOUT_MILLIS)
        .whenComplete(
            (m, e) -> {
              shard.run(() -> beaten(to, m, e));
              then.run();
            });
  }

  private void beaten(Owner to, PeerMessage m, Throwable e) {
    if (e == null) {
      endedBeats = 0;
      if (m instanceof MemberAnswer a && a.owner() && a.serves()) {
        contactMillis = context.nowMillis();
      }
      return;
    }
    if (context.nowMillis() - contactMillis > SILENT_MILLIS) {
      election.verify();
    }
    Throwable cause = Failures.cause(e);
    if (!(cause instanceof PeerException p) || !p.isEnded()) {
      endedBeats = 0;
    } else if (++endedBeats >= ENDED_BEATS && election.isReadable() && !stopping) {
      election.replace(to);
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
                if (owner != null) {
                  owner.heard(c.member());
                }
                return new MemberAnswer(owner != null, owner != null && owner.isOpen());
              }));
    } else if (m instanceof AdviceCall c) {
      return context
          .advice()
          .ask(c.step(), c.runners(), c.timeoutMillis())
          .handle(
              (a, e) ->
                  e == null
                      ? new AdviceAnswer(a.tickets(), a.validMillis())
                      : new AdviceAnswer(null, 0));
    }
    return CompletableFuture.completedFuture(new Ack());
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
