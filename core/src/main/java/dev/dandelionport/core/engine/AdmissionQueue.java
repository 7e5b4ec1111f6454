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
 * Jobs that arrived while the store does not take the journal's records. The scheduler has not seen
 * them and no record of them exists, so that they can be refused truthfully. Guarded by the
 * partition's shard.
 */
final class AdmissionQueue {

  /** Wait before a job is refused whose caller does not wait longer, in milliseconds. */
  static final long MIN_WAIT_MILLIS = 2_000;

  /**
   * Longest wait of a job that is not urgent, in milliseconds. It bridges a restart of the store;
   * the room is needed for new callers in a longer outage.
   */
  static final long MAX_WAIT_MILLIS = 10_000;

  /** Most bytes of payloads held at a time; a tenth of the heap of 96 MB. */
  private static final long MAX_BYTES = 10L << 20;

  /** Age of a journal write from which the store counts as slow, in milliseconds. */
  static final long STALL_THRESHOLD_MILLIS = 150;

  /** Most jobs that wait; more are refused at once. */
  private static final int MAX_JOBS = 1_000;

  /** A job and its caller. */
  record PendingJob(
      PeerMessage.SubmitCall call,
      CompletableFuture<JobReply> future,
      String traceparent,
      long arrivedNanos) {
    JobSpec spec() {
      return call.spec();
    }

    /** Returns how long the caller still waits, in milliseconds. */
    long remainingWaitMillis(long nowNanos) {
      long waited = TimeUnit.NANOSECONDS.toMillis(nowNanos - arrivedNanos);
      return Math.max(0, call.waitMillis() - waited);
    }

    /** Urgent callers are told early; others are kept while they wait. */
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

  /** Keeps a job until the store answers; returns false if there is no room. */
  boolean enqueue(PendingJob job) {
    if (entries.size() >= MAX_JOBS || bytes + job.payloadBytes() > MAX_BYTES) {
      return false;
    }
    bytes += job.payloadBytes();
    long expiresNanos = job.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(job.maxQueueMillis());
    entries.add(new Entry(job, expiresNanos));
    return true;
  }

  /** Hands all held jobs on, in order of arrival. */
  void releaseAll(Consumer<PendingJob> next) {
    releaseMatching(e -> true, next);
  }

  /** Hands on the jobs that have waited too long. */
  void releaseExpired(Consumer<PendingJob> next) {
    long now = time.monotonicNanos();
    releaseMatching(e -> e.expiresNanos() - now <= 0, next);
  }

  private void releaseMatching(Predicate<Entry> filter, Consumer<PendingJob> next) {
    List<Entry> released = entries.stream().filter(filter).toList();
    entries.removeAll(Set.copyOf(released));
    released.forEach(
        e -> {
          bytes -= e.job().payloadBytes();
          next.accept(e.job());
        });
  }
}
