package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.scheduler.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Queues submitted jobs while the store does not accept journal writes. The queued jobs have not
 * reached the scheduler and have no journal record, so they can safely be refused as not run.
 * Guarded by the partition's shard.
 */
final class AdmissionQueue {

  /** Minimum time that a job is queued before it is refused, in milliseconds. */
  static final long MIN_WAIT_MILLIS = 2_000;

  /**
   * Maximum time that a job that is not urgent is queued, in milliseconds. It covers a restart of
   * the store; in a longer outage the queue's capacity is needed for new callers.
   */
  static final long MAX_WAIT_MILLIS = 10_000;

  /** Maximum total size of the queued payloads, in bytes; a tenth of the 96 MB heap. */
  private static final long MAX_BYTES = 10L << 20;

  /** Age of a pending journal write, in milliseconds, above which new jobs are queued. */
  static final long STALL_THRESHOLD_MILLIS = 150;

  /** Maximum number of queued jobs; further jobs are refused immediately. */
  private static final int MAX_JOBS = 1_000;

  /** A submitted job and the future that completes its caller's request. */
  record PendingJob(
      PeerMessage.SubmitCall call,
      CompletableFuture<JobReply> future,
      String traceparent,
      long arrivedNanos) {
    JobSpec spec() {
      return call.spec();
    }

    /** Returns the remaining wait time of the caller, in milliseconds. */
    long remainingWaitMillis(long nowNanos) {
      long waited = TimeUnit.NANOSECONDS.toMillis(nowNanos - arrivedNanos);
      return Math.max(0, call.waitMillis() - waited);
    }

    /**
     * Returns how long the job may stay in the queue, in milliseconds: the minimum for an urgent
     * job, so that its caller gets an early answer, otherwise the caller's wait within the limits.
     */
    long maxQueueMillis() {
      return spec().workloadClass() == WorkloadClass.URGENT
          ? MIN_WAIT_MILLIS
          : Math.max(MIN_WAIT_MILLIS, Math.min(call.waitMillis(), MAX_WAIT_MILLIS));
    }

    long payloadBytes() {
      return 2L * spec().payload().length();
    }
  }

  private record Entry(PendingJob job, long expiresNanos) {}

  private final TimeSource time;
  private final List<Entry> entries = new ArrayList<>();
  private long bytes;

  AdmissionQueue(TimeSource time) {
    this.time = time;
  }

  /** Queues a job until the store responds; returns false if the queue is full. */
  boolean enqueue(PendingJob job) {
    if (entries.size() >= MAX_JOBS || bytes + job.payloadBytes() > MAX_BYTES) {
      return false;
    }
    bytes += job.payloadBytes();
    long expiresNanos = job.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(job.maxQueueMillis());
    entries.add(new Entry(job, expiresNanos));
    return true;
  }

  /** Removes all queued jobs and passes them to {@code consumer} in order of arrival. */
  void releaseAll(Consumer<PendingJob> consumer) {
    releaseMatching(e -> true, consumer);
  }

  /** Removes the jobs whose queue time has expired and passes them to {@code consumer}. */
  void releaseExpired(Consumer<PendingJob> consumer) {
    long now = time.monotonicNanos();
    releaseMatching(e -> e.expiresNanos() - now <= 0, consumer);
  }

  private void releaseMatching(Predicate<Entry> filter, Consumer<PendingJob> consumer) {
    List<Entry> released = entries.stream().filter(filter).toList();
    entries.removeAll(Set.copyOf(released));
    released.forEach(
        e -> {
          bytes -= e.job().payloadBytes();
          consumer.accept(e.job());
        });
  }
}
