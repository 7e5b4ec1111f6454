package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.admission.Refusal;
import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.workflow.ClusterPolicy;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowScheduler;
import dev.dandelionport.core.workflow.WorkflowSpec;
import dev.dandelionport.core.workflow.WorkflowState;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/**
 * Handles client requests at the owner: selects the queue by host and path, checks the access key,
 * and submits, reads or cancels workflows. Guarded by the owner's shard.
 */
final class ClientRequestHandler {

  /** Retry delay sent with a refusal, in milliseconds. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private static final String POLICY_NOT_CONFIRMED = "the configuration is not confirmed";

  private final WorkflowScheduler scheduler;
  private final ClusterView clusterView;
  private final SubmissionGate submissionGate;
  private final PendingAnswers pendingAnswers;

  ClientRequestHandler(
      Shard shard,
      WorkflowScheduler scheduler,
      ClusterView clusterView,
      SubmissionGate submissionGate) {
    this.scheduler = scheduler;
    this.clusterView = clusterView;
    this.submissionGate = submissionGate;
    this.pendingAnswers = new PendingAnswers(shard);
  }

  void setJournal(WorkflowJournal j) {
    pendingAnswers.setJournal(j);
  }

  /** Handles a request; {@code applyDecisions} carries out the decisions about it. */
  CompletableFuture<WorkflowAnswer> handle(WorkflowCall c, Runnable applyDecisions) {
    if (!clusterView.isPolicyCurrent()) {
      return answerNow(answerWithoutPolicy(c));
    }
    ClusterPolicy policy = clusterView.policy();
    Optional<Queue> route = policy.route(c.host(), c.path());
    if (route.isEmpty()) {
      return answerNow(WorkflowAnswer.of(WorkflowStatus.NO_QUEUE));
    }
    Queue q = route.get();
    Optional<Account> account = policy.accountOf(c.key());
    if (account.isEmpty() && !q.open()) {
      return answerNow(WorkflowAnswer.of(WorkflowStatus.NO_ACCOUNT));
    }
    String owner = account.map(Account::name).orElse("");
    String id = c.path().substring(q.prefix().length());
    if (c.kind() == WorkflowCallKind.SUBMIT) {
      return submit(c, q, owner, id, applyDecisions);
    }
    if (id.isEmpty()) {
      return answerNow(
          c.kind() == WorkflowCallKind.READ ? count(q) : WorkflowAnswer.of(WorkflowStatus.INVALID));
    }
    boolean known =
        scheduler.queueOf(id).filter(q.name()::equals).isPresent()
            && (q.open() || scheduler.accountOf(id).filter(owner::equals).isPresent());
    if (!known) {
      // The next owner may have accepted the workflow.
      return answerNow(
          submissionGate.ownership().isCertain()
              ? WorkflowAnswer.of(WorkflowStatus.UNKNOWN_WORKFLOW)
              : SubmissionGate.notOwner());
    }
    if (c.kind() == WorkflowCallKind.CANCEL) {
      long position = pendingAnswers.position();
      scheduler.cancel(id);
      applyDecisions.run();
      return pendingAnswers.whenDurable(position);
    }
    WorkflowState state = scheduler.state(id).orElseThrow();
    return answerNow(new WorkflowAnswer(WorkflowStatus.OK, state, 0, 0));
  }

  private WorkflowAnswer count(Queue q) {
    return submissionGate.mayCount()
        ? new WorkflowAnswer(WorkflowStatus.OK, null, scheduler.countUnstarted(q.name()), 0)
        : SubmissionGate.notOwner();
  }

  private CompletableFuture<WorkflowAnswer> submit(
      WorkflowCall c, Queue q, String account, String id, Runnable applyDecisions) {
    WorkflowSpec body;
    try {
      body = WorkflowCodec.decodeSpec(c.body());
    } catch (IllegalArgumentException e) {
      // The sending instance validates the body before it encodes it, so only another program can
      // send a malformed one.
      return answerNow(WorkflowAnswer.of(WorkflowStatus.INVALID));
    }
    if (id.isEmpty() || body.steps().isEmpty()) {
      return answerNow(WorkflowAnswer.of(WorkflowStatus.INVALID));
    }
    if (scheduler.queueOf(id).isPresent()) {
      return pendingAnswers.isDurable(id)
          ? answerNow(new WorkflowAnswer(WorkflowStatus.OK, null, 0, 0))
          : pendingAnswers.repeated(id);
    }
    Optional<WorkflowAnswer> closed = submissionGate.check(c);
    if (closed.isPresent()) {
      return answerNow(closed.get());
    }
    WorkflowSpec spec =
        new WorkflowSpec(
            id, q.name(), account, body.payload(), body.steps(), body.recurrence(), false);
    // A process that may no longer be the owner refuses nothing: the next owner may have accepted
    // the id. What it accepts is stored only if it still is the owner.
    Ownership ownership = submissionGate.ownership();
    Optional<Refusal> refusal =
        ownership.isRenewed() ? scheduler.refusalOf(spec) : Optional.empty();
    if (refusal.isPresent()) {
      applyDecisions.run();
      return answerNow(
          ownership.isCertain() ? refusalAnswer(refusal.get()) : SubmissionGate.notOwner());
    }
    long position = pendingAnswers.position();
    scheduler.submit(spec);
    applyDecisions.run();
    return pendingAnswers.accepted(id, position);
  }

  private WorkflowAnswer refusalAnswer(Refusal r) {
    long retryMillis = Math.max(1, r.returnMillis() - scheduler.nowMillis());
    return new WorkflowAnswer(
        WorkflowStatus.REFUSED, null, 0, retryMillis, r.reason().isOverShare());
  }

  /**
   * Returns the answer while the configuration may be outdated. Keys cannot be checked then, but a
   * workflow that has been accepted must not be reported as refused.
   */
  private WorkflowAnswer answerWithoutPolicy(WorkflowCall c) {
    if (c.kind() == WorkflowCallKind.READ) {
      return new WorkflowAnswer(WorkflowStatus.REFUSED, null, 0, RETRY_AFTER_MILLIS);
    }
    if (c.kind() == WorkflowCallKind.CANCEL) {
      return submissionGate.refuse(c, POLICY_NOT_CONFIRMED, RETRY_AFTER_MILLIS);
    }
    return endsWithKnownId(c.path())
        ? WorkflowAnswer.of(WorkflowStatus.UNCERTAIN)
        : submissionGate.refuse(c, POLICY_NOT_CONFIRMED, RETRY_AFTER_MILLIS);
  }

  /** Returns whether a path ends with a known id; the outdated configuration may lack its route. */
  private boolean endsWithKnownId(String path) {
    return IntStream.range(0, path.length())
        .anyMatch(i -> scheduler.queueOf(path.substring(i)).isPresent());
  }

  private static CompletableFuture<WorkflowAnswer> answerNow(WorkflowAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }

  /** Completes all pending answers after the journal has been stopped. */
  void close() {
    pendingAnswers.close();
  }
}
