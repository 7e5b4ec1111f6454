package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerClient;
import dev.dandelionport.core.port.Timer;
import dev.dandelionport.core.routing.AdmissionLimiter;
import dev.dandelionport.core.routing.OwnerDirectory;
import dev.dandelionport.core.routing.PartitionCircuitBreaker;
import dev.dandelionport.core.routing.PeerClocks;
import dev.dandelionport.core.routing.RetryBudget;
import dev.dandelionport.core.scheduler.JobSpec;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Routes callers' requests to the owners of their home partitions, follows ownership changes and
 * limits the number and size of waiting requests. A submit that exceeds a limit is refused as
 * {@code NOT_RUN} only after the owner has refused it, because the request may be a retry of one
 * that another instance sent; if no owner can be reached, the answer is {@code UNKNOWN}.
 */
public final class JobRouter {

  /** Maximum number of requests waiting for an answer. */
  static final int MAX_ROUTES = 10_000;

  /** Maximum total size of waiting requests, in bytes; a sixth of the 96 MB heap. */
  static final long MAX_BYTES = 16L << 20;

  /** Maximum number of requests beyond the limits that wait for a refusal by their owner. */
  static final int MAX_REFUSALS = 1_000;

  /** Memory used by a request in addition to its payload, in bytes. */
  private static final long ROUTE_BYTES = 1_024;

  private final OwnerDirectory directory;
  private final PeerClient peers;
  private final TimeSource time;
  private final Timer timer;
  private final AdmissionLimiter admission;
  private final RetryBudget retryBudget;
  private final PartitionCircuitBreaker circuitBreaker;
  private final PeerClocks peerClocks;
  private final Set<JobRoute> routes = Collections.synchronizedSet(new LinkedHashSet<>());
  private final AtomicInteger waitingRequests = new AtomicInteger();
  private final AtomicInteger activeRefusals = new AtomicInteger();
  private final AtomicLong waitingBytes = new AtomicLong();
  private volatile boolean stopped;

  /** Creates a router that uses {@code engine} to find owners. */
  public JobRouter(InstanceEngine engine, EngineContext context) {
    this(directoryOf(engine), context.peers(), context.time(), context.timer());
  }

  /** Creates a router that finds owners in {@code directory}. */
  public JobRouter(OwnerDirectory directory, PeerClient peers, TimeSource time, Timer timer) {
    this.directory = directory;
    this.peers = peers;
    this.time = time;
    this.timer = timer;
    this.admission = new AdmissionLimiter(time);
    this.retryBudget = new RetryBudget(time);
    this.circuitBreaker = new PartitionCircuitBreaker(time);
    this.peerClocks = new PeerClocks(peers, time);
  }

  private static OwnerDirectory directoryOf(InstanceEngine engine) {
    return new OwnerDirectory() {
      @Override
      public InstanceInfo self() {
        return engine.self();
      }

      @Override
      public Optional<PartitionId> homePartition(JobKey job) {
        return engine.homePartition(job);
      }

      @Override
      public Optional<InstanceInfo> ownerOf(PartitionId partition) {
        return engine.ownerOf(partition);
      }

      @Override
      public boolean isSuspected(InstanceId instance) {
        return !engine.state().live().contains(instance);
      }

      @Override
      public Optional<Integer> admissionPerSecond(TeamId team) {
        return engine
            .state()
            .manifest()
            .flatMap(m -> m.team(team))
            .map(t -> t.admissionPerSecond());
      }

      @Override
      public CompletableFuture<PeerMessage> receive(PeerMessage message) {
        return engine.receive(message);
      }
    };
  }

  /** Submits a job; completes with its status when it has ended, or after {@code waitMillis}. */
  public CompletableFuture<JobReply> submit(JobSpec spec, long waitMillis, String traceparent) {
    Optional<Integer> rate = directory.admissionPerSecond(spec.key().team());
    if (rate.isPresent() && !admission.admit(spec.key().team(), rate.get())) {
      String reason = "the team sends more than " + rate.get() + " requests per second";
      return refuse(spec, Outcome.OVER_LIMIT, reason);
    }
    long size = ROUTE_BYTES + 2L * spec.payload().length();
    if (!reserve(size)) {
      return refuse(spec, Outcome.NOT_RUN, "this instance has too many requests");
    }
    return run(JobRoute.submit(this, spec, waitMillis, traceparent))
        .whenComplete((r, e) -> release(size));
  }

  /** Returns the status of a job as soon as it has ended, or after {@code waitMillis}. */
  public CompletableFuture<JobReply> status(JobKey job, long waitMillis) {
    return runBounded(JobRoute.status(this, job, waitMillis));
  }

  /** Cancels a job and returns its status. */
  public CompletableFuture<JobReply> cancel(JobKey job) {
    return runBounded(JobRoute.cancel(this, job));
  }

  private CompletableFuture<JobReply> runBounded(JobRoute route) {
    if (!reserve(ROUTE_BYTES)) {
      return unknown("this instance has too many requests");
    }
    return run(route).whenComplete((r, e) -> release(ROUTE_BYTES));
  }

  /**
   * Has the owner refuse a request, so that a copy sent by another instance is not accepted later.
   * An urgent repeatable job is never refused as not run, because a former owner may have started
   * it before its record was durable.
   */
  private CompletableFuture<JobReply> refuse(JobSpec spec, Outcome refusal, String reason) {
    if (activeRefusals.incrementAndGet() > MAX_REFUSALS) {
      activeRefusals.decrementAndGet();
      return unknown(reason);
    }
    JobKey job = spec.key();
    boolean canBeRefused = !spec.skipsCommitWait();
    return run(canBeRefused ? JobRoute.refuse(this, job) : JobRoute.status(this, job, 0))
        .whenComplete((r, e) -> activeRefusals.decrementAndGet())
        .thenApply(
            r ->
                switch (r.outcome()) {
                  case NOT_RUN -> JobReply.of(refusal, reason);
                  case NOT_FOUND -> unknownReply(reason);
                  default -> r;
                });
  }

  private static CompletableFuture<JobReply> unknown(String reason) {
    return CompletableFuture.completedFuture(unknownReply(reason));
  }

  private static JobReply unknownReply(String reason) {
    return JobReply.of(Outcome.UNKNOWN, reason + "; ask again with the same request key");
  }

  private boolean reserve(long size) {
    int count = waitingRequests.incrementAndGet();
    long sum = waitingBytes.addAndGet(size);
    if (count <= MAX_ROUTES && sum <= MAX_BYTES) {
      return true;
    }
    release(size);
    return false;
  }

  private void release(long size) {
    waitingRequests.decrementAndGet();
    waitingBytes.addAndGet(-size);
  }

  private CompletableFuture<JobReply> run(JobRoute route) {
    routes.add(route);
    CompletableFuture<JobReply> f = route.run().whenComplete((r, e) -> routes.remove(route));
    if (stopped) {
      route.stop();
    }
    return f;
  }

  /**
   * Completes all waiting requests with {@code UNKNOWN}, so that their callers retry at another
   * instance with the same request key.
   */
  public void stop() {
    stopped = true;
    List.copyOf(routes).forEach(JobRoute::stop);
  }

  /** Returns the number of requests waiting for an answer. */
  public int waitingRequests() {
    return waitingRequests.get();
  }

  /** Returns the estimated memory used by waiting requests, in bytes. */
  public long waitingBytes() {
    return waitingBytes.get();
  }

  /** Converts a local time to the owner's clock; empty if the clock offset is unknown. */
  OptionalLong toOwnerClock(InstanceInfo owner, long localNanos) {
    return owner.id().equals(directory.self().id())
        ? OptionalLong.of(localNanos)
        : peerClocks.toPeerNanos(owner.id(), localNanos);
  }

  CompletableFuture<Void> readClock(InstanceInfo owner) {
    return peerClocks.refresh(owner);
  }

  OwnerDirectory directory() {
    return directory;
  }

  PeerClient peers() {
    return peers;
  }

  TimeSource time() {
    return time;
  }

  Timer timer() {
    return timer;
  }

  RetryBudget retryBudget() {
    return retryBudget;
  }

  PartitionCircuitBreaker circuitBreaker() {
    return circuitBreaker;
  }
}
