package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerException;
import dev.dandelionport.core.routing.Backoff;
import dev.dandelionport.core.routing.RefusedRequests;
import dev.dandelionport.core.scheduler.JobSpec;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Routes one request to the owner of its partition and retries until it has an answer. At most one
 * message of a route is in flight. Once a submit may have reached an owner, the route never replies
 * that the job did not run: a copy may still be in flight, or an owner that has not answered may
 * have accepted it.
 */
final class JobRoute {

  /**
   * Minimum time to retry until an owner accepts a request, in milliseconds; longer than a
   * takeover, which takes up to 4.6 s.
   */
  static final long MIN_ROUTE_MILLIS = 6_000;

  /** Time to retry the refusal of a request at its owner, in milliseconds. */
  static final long REFUSE_ROUTE_MILLIS = 1_000;

  /** Time added to the caller's wait to obtain the timeout of a call to a peer, in milliseconds. */
  private static final long ANSWER_GRACE_MILLIS = 2_500;

  private enum Kind {
    SUBMIT,
    REFUSE,
    STATUS,
    CANCEL
  }

  private final JobRouter router;
  private final Kind kind;
  private final JobKey job;
  private final JobSpec spec;
  private final String traceparent;
  private final long notAfterNanos;
  private final long waitUntilNanos;
  private final long routeUntilNanos;
  private final CompletableFuture<JobReply> result = new CompletableFuture<>();

  /** Whether a submit may have reached an owner whose answer was not received. */
  private boolean mayHaveArrived;

  private int tries;

  private JobRoute(
      JobRouter router,
      Kind kind,
      JobKey job,
      JobSpec spec,
      String traceparent,
      long waitMillis,
      long routeMillis) {
    this.router = router;
    this.kind = kind;
    this.job = job;
    this.spec = spec;
    this.traceparent = traceparent;
    long now = router.time().monotonicNanos();
    this.notAfterNanos = now + TimeUnit.MILLISECONDS.toNanos(RefusedRequests.COPY_LIFETIME_MILLIS);
    this.waitUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    this.routeUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(Math.max(routeMillis, waitMillis));
  }

  static JobRoute submit(JobRouter router, JobSpec spec, long waitMillis, String traceparent) {
    return new JobRoute(
        router, Kind.SUBMIT, spec.key(), spec, traceparent, waitMillis, MIN_ROUTE_MILLIS);
  }

  static JobRoute status(JobRouter router, JobKey job, long waitMillis) {
    return new JobRoute(router, Kind.STATUS, job, null, "", waitMillis, MIN_ROUTE_MILLIS);
  }

  static JobRoute refuse(JobRouter router, JobKey job) {
    return new JobRoute(router, Kind.REFUSE, job, null, "", 0, REFUSE_ROUTE_MILLIS);
  }

  static JobRoute cancel(JobRouter router, JobKey job) {
    return new JobRoute(router, Kind.CANCEL, job, null, "", 0, MIN_ROUTE_MILLIS);
  }

  CompletableFuture<JobReply> run() {
    if (kind == Kind.SUBMIT) {
      router.retryBudget().recordRequest();
    }
    send();
    return result;
  }

  /** Completes the route with {@code UNKNOWN} because this instance stops. */
  void stop() {
    result.complete(
        JobReply.of(
            Outcome.UNKNOWN, "this instance stops; ask another one with the same request key"));
  }

  private void send() {
    if (result.isDone()) {
      return;
    }
    Optional<PartitionId> p = router.directory().homePartition(job);
    Optional<InstanceInfo> owner = p.flatMap(router.directory()::ownerOf);
    if (owner.isEmpty()) {
      retry("no instance owns the job's partition");
    } else if (router.directory().isSuspected(owner.get().id())) {
      retry("the partition's owner is suspected to have failed");
    } else if (!router.circuitBreaker().allowsRequest(p.get())) {
      retry("the partition's owner does not serve yet");
    } else {
      send(p.get(), owner.get());
    }
  }

  private void send(PartitionId p, InstanceInfo owner) {
    OptionalLong notAfter = router.toOwnerClock(owner, notAfterNanos);
    if (kind == Kind.SUBMIT && notAfter.isEmpty()) {
      router.readClock(owner).whenComplete((v, e) -> onClockRead(p, e));
      return;
    }
    long waitMillis = millisUntil(waitUntilNanos);
    call(owner, message(waitMillis, notAfter.orElse(0)), waitMillis + ANSWER_GRACE_MILLIS)
        .whenComplete((m, e) -> onAnswer(p, m, e));
  }

  /** Continues after the read of the owner's clock; the request itself has not been sent yet. */
  private void onClockRead(PartitionId p, Throwable e) {
    if (e == null) {
      send();
    } else {
      router.circuitBreaker().recordFailure(p);
      retry("the partition's owner does not answer");
    }
  }

  private PeerMessage message(long waitMillis, long notAfter) {
    return switch (kind) {
      case SUBMIT ->
          mayHaveArrived && !mayResend()
              ? new PeerMessage.StatusCall(job, waitMillis)
              : new PeerMessage.SubmitCall(spec, waitMillis, traceparent, notAfter);
      case REFUSE -> new PeerMessage.RefuseCall(job);
      case STATUS -> new PeerMessage.StatusCall(job, waitMillis);
      case CANCEL -> new PeerMessage.CancelCall(job);
    };
  }

  /**
   * Returns whether the submit may be sent again. A job that is not repeatable is never resent,
   * only its status is requested; others are resent within the retry budget.
   */
  private boolean mayResend() {
    return spec.repeatable() && router.retryBudget().tryTakeRetry();
  }

  private CompletableFuture<PeerMessage> call(
      InstanceInfo owner, PeerMessage message, long timeoutMillis) {
    try {
      return owner.id().equals(router.directory().self().id())
          ? router.directory().receive(message)
          : router.peers().request(owner, message, timeoutMillis);
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private void onAnswer(PartitionId p, PeerMessage answer, Throwable error) {
    if (error != null) {
      router.circuitBreaker().recordFailure(p);
      onFailure(Failures.cause(error));
    } else if (answer instanceof PeerMessage.JobAnswer a && a.reply() != null) {
      if (a.reply().outcome() == Outcome.NOT_OWNER || a.reply().outcome() == Outcome.UNKNOWN) {
        router.circuitBreaker().recordFailure(p);
      } else {
        router.circuitBreaker().recordSuccess(p);
      }
      onReply(a.reply());
    } else {
      mayHaveArrived |= kind == Kind.SUBMIT;
      retry("the owner gave an unexpected answer");
    }
  }

  private void onReply(JobReply r) {
    switch (r.outcome()) {
      case NOT_OWNER -> retry(r.reason());
      case UNKNOWN -> {
        // The owner changed while the job waited there; the new owner has the job's status.
        mayHaveArrived |= kind == Kind.SUBMIT;
        retry(r.reason());
      }
      case NOT_RUN, NOT_FOUND -> {
        if (mayHaveArrived) {
          retry("the job is not known yet");
        } else {
          result.complete(r);
        }
      }
      case EXPIRED -> completeAsUnknown(r.reason());
      case STATUS -> result.complete(r);
      default -> {
        if (mayHaveArrived) {
          completeAsUnknown(r.reason());
        } else {
          result.complete(r);
        }
      }
    }
  }

  private void completeAsUnknown(String reason) {
    result.complete(JobReply.of(Outcome.UNKNOWN, reason + "; ask again with the same request key"));
  }

  private void onFailure(Throwable e) {
    boolean mayBeReceived = !(e instanceof PeerException x) || x.mayHaveBeenReceived();
    mayHaveArrived |= mayBeReceived && kind == Kind.SUBMIT;
    retry(String.valueOf(e.getMessage()));
  }

  private void retry(String reason) {
    long remainingMillis = millisUntil(routeUntilNanos);
    if (remainingMillis > 0) {
      router
          .timer()
          .schedule(Math.min(remainingMillis, Backoff.delayMillis(job, tries++)), this::send);
    } else {
      completeAsUnknown(reason);
    }
  }

  private long millisUntil(long nanos) {
    long remainingNanos = nanos - router.time().monotonicNanos();
    return remainingNanos <= 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(remainingNanos) + 1;
  }
}
