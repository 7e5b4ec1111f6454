package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.journal.JournalWriter;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.routing.RefusedRequests;
import dev.dandelionport.core.scheduler.Event;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.scheduler.JobStatus;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Handles submit, refuse, status and cancel calls for the jobs of a served partition. A job whose
 * records may be durable is never refused as not run. Guarded by the partition's shard.
 */
final class JobCallHandler {

  private final Shard shard;
  private final HostContext context;
  private final SchedulerDriver driver;
  private final JournalWriter journal;
  private final WaiterTable waiters;
  private final AdmissionQueue admission;
  private final RefusedRequests refusedRequests;

  JobCallHandler(
      Shard shard,
      HostContext context,
      SchedulerDriver driver,
      JournalWriter journal,
      WaiterTable waiters,
      boolean firstOwner) {
    this.shard = shard;
    this.context = context;
    this.driver = driver;
    this.journal = journal;
    this.waiters = waiters;
    this.admission = new AdmissionQueue(context.engine().time());
    this.refusedRequests = new RefusedRequests(context.engine().time(), firstOwner);
  }

  void submit(AdmissionQueue.PendingJob job) {
    Optional<JobReply> refusal = refusal(job.call());
    if (refusal.isPresent()) {
      reply(job.future(), refusal.get());
    } else if (!mustWaitForStore(job.spec())) {
      admit(job);
    } else if (!admission.enqueue(job)) {
      reply(job.future(), refuseAsNotRun(job.spec().key(), "too many jobs wait for the store"));
    }
  }

  private Optional<JobReply> refusal(PeerMessage.SubmitCall call) {
    JobSpec spec = call.spec();
    Optional<JobSpec> existing = driver.scheduler().spec(spec.key());
    if (!context.mayServe()) {
      // Another owner may have accepted an earlier copy, so the request is not refused as not run.
      Outcome o = existing.isPresent() ? Outcome.UNKNOWN : Outcome.NOT_OWNER;
      return Optional.of(JobReply.of(o, "the owner cannot confirm its lease or the manifest"));
    }
    if (existing.isPresent()) {
      return existing.get().fingerprint().equals(spec.fingerprint())
          ? Optional.empty()
          : Optional.of(
              JobReply.of(Outcome.CONFLICT, "the request key belongs to a different request"));
    }
    if (spec.deadlineMillis() <= context.engine().time().wallMillis()) {
      return Optional.of(JobReply.of(Outcome.TOO_LATE, "the deadline has passed"));
    }
    switch (refusedRequests.check(spec.key(), call.notAfterNanos(), !spec.skipsCommitWait())) {
      case REFUSED:
        return Optional.of(
            refuseAsNotRun(spec.key(), "the request was refused while it was under way"));
      case EXPIRED:
        return Optional.of(
            JobReply.of(
                Outcome.EXPIRED, "the owner changed, or the request was under way too long"));
      default:
        break;
    }
    if (!journal.isFull()) {
      return Optional.empty();
    }
    String reason = "too many records wait for the store";
    // A former owner may have started an urgent repeatable job before its record was durable.
    return Optional.of(
        spec.skipsCommitWait()
            ? JobReply.of(Outcome.UNKNOWN, reason)
            : refuseAsNotRun(spec.key(), reason));
  }

  /**
   * Refuses an unknown request and records the refusal, so that copies still in flight are refused
   * too.
   */
  private JobReply refuseAsNotRun(JobKey key, String reason) {
    refusedRequests.refuse(key);
    return JobReply.of(Outcome.NOT_RUN, reason);
  }

  private void reply(CompletableFuture<JobReply> f, JobReply r) {
    shard.runAfterUnlock(() -> f.complete(r));
  }

  /**
   * Refuses a request on behalf of an entry instance; replies with the status if the job is known.
   */
  void refuse(JobKey key, CompletableFuture<JobReply> f) {
    if (driver.scheduler().status(key).isPresent()) {
      status(key, 0, f);
    } else if (!context.mayServe()) {
      reply(f, JobReply.of(Outcome.NOT_OWNER, "the owner cannot confirm its lease"));
    } else {
      reply(f, refuseAsNotRun(key, "the entry instance refuses the request"));
    }
  }

  private boolean mustWaitForStore(JobSpec s) {
    return !s.skipsCommitWait()
        && driver.scheduler().spec(s.key()).isEmpty()
        && journal.pendingWriteMillis() > AdmissionQueue.STALL_THRESHOLD_MILLIS;
  }

  private void admit(AdmissionQueue.PendingJob job) {
    JobKey key = job.spec().key();
    addWaiter(key, job.remainingWaitMillis(context.engine().time().monotonicNanos()), job.future());
    if (driver.scheduler().spec(key).isEmpty()) {
      driver.jobAccepted(job.spec(), job.traceparent());
    }
    driver.handle(new Event.Submit(job.spec()));
  }

  void status(JobKey key, long waitMillis, CompletableFuture<JobReply> f) {
    Optional<JobStatus> s = driver.scheduler().status(key);
    if (s.isEmpty()) {
      // Without authority, another instance may own the partition and have the job.
      Outcome o = context.authority().isHeld() ? Outcome.NOT_FOUND : Outcome.NOT_OWNER;
      reply(f, JobReply.of(o, "no such job"));
      return;
    }
    addWaiter(key, waitMillis, f);
    if (s.get().phase().isFinal() || waitMillis <= 0) {
      answerOnceDurable(key, f);
    }
  }

  void cancel(JobKey key, CompletableFuture<JobReply> f) {
    if (driver.scheduler().status(key).isPresent()) {
      driver.handle(new Event.Cancel(key));
    }
    status(key, 0, f);
  }

  /**
   * Admits the queued jobs once the store responds, and refuses those whose queue time has expired.
   */
  void tick() {
    if (!context.mayServe()) {
      rejectPending("the owner cannot confirm its lease or the manifest");
    } else if (journal.pendingWriteMillis() <= AdmissionQueue.STALL_THRESHOLD_MILLIS) {
      // Another copy may have been accepted or refused in the meantime, so each job is checked
      // again.
      admission.releaseAll(this::submit);
    } else {
      admission.releaseExpired(this::refuseExpired);
    }
  }

  private void refuseExpired(AdmissionQueue.PendingJob job) {
    if (driver.scheduler().spec(job.spec().key()).isPresent()) {
      submit(job);
    } else {
      reply(job.future(), refuseAsNotRun(job.spec().key(), "the store does not answer"));
    }
  }

  /**
   * Rejects all queued jobs with {@code NOT_OWNER}, so that their callers try the next owner;
   * nothing was done for them.
   */
  void rejectPending(String reason) {
    admission.releaseAll(j -> reply(j.future(), JobReply.of(Outcome.NOT_OWNER, reason)));
  }

  private void addWaiter(JobKey key, long waitMillis, CompletableFuture<JobReply> f) {
    waiters.add(key, f, waitMillis > 0);
    if (waitMillis > 0) {
      context
          .engine()
          .timer()
          .schedule(waitMillis, () -> shard.run(() -> answerOnceDurable(key, f)));
    } else {
      scheduleUnknownReply(key, f);
    }
  }

  /**
   * Replies with the job's status once it is durable, or with {@code UNKNOWN} if the store does not
   * respond in time.
   */
  private void answerOnceDurable(JobKey key, CompletableFuture<JobReply> f) {
    if (f.isDone()) {
      return;
    }
    driver
        .scheduler()
        .status(key)
        .ifPresent(s -> driver.afterCommit(() -> waiters.answer(key, f, JobReply.of(s))));
    scheduleUnknownReply(key, f);
  }

  private void scheduleUnknownReply(JobKey key, CompletableFuture<JobReply> f) {
    JobReply r = JobReply.of(Outcome.UNKNOWN, "the store does not answer");
    context
        .engine()
        .timer()
        .schedule(AdmissionQueue.MIN_WAIT_MILLIS, () -> shard.run(() -> waiters.answer(key, f, r)));
  }
}
