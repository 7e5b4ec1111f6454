package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.admission.Refusal;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Handles client requests at the owner: selects the queue by host and path, checks the access key,
 * and submits, reads or cancels workflows. Guarded by the owner's shard.
 */
final class ClientRequestHandler {

  /** Retry delay sent with a refusal, in milliseconds. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final WorkflowScheduler scheduler;
  private final ClusterView clusterView;

  /** Answers whose records are not durable yet, in the order of the requests. */
  private final Set<CompletableFuture<WorkflowAnswer>> pendingAnswers = new LinkedHashSet<>();

  private WorkflowJournal journal;

  ClientRequestHandler(WorkflowScheduler scheduler, ClusterView clusterView) {
    this.scheduler = scheduler;
    this.clusterView = clusterView;
  }

  void setJournal(WorkflowJournal j) {
    journal = j;
  }

  /** Handles a request; {@code decided} executes the scheduler's decisions about it. */
  CompletableFuture<WorkflowAnswer> handle(WorkflowCall c, Runnable applyDecisions) {
    if (!clusterView.isPolicyCurrent()) {
      return answerNow(new WorkflowAnswer(WorkflowStatus.REFUSED, null, 0, RETRY_AFTER_MILLIS));
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
          c.kind() == WorkflowCallKind.READ
              ? new WorkflowAnswer(WorkflowStatus.OK, null, scheduler.countUnstarted(q.name()), 0)
              : WorkflowAnswer.of(WorkflowStatus.INVALID));
    }
    boolean known =
        scheduler.queueOf(id).filter(q.name()::equals).isPresent()
            && (q.open() || scheduler.accountOf(id).filter(owner::equals).isPresent());
    if (!known) {
      return answerNow(WorkflowAnswer.of(WorkflowStatus.UNKNOWN_WORKFLOW));
    }
    if (c.kind() == WorkflowCallKind.CANCEL) {
      scheduler.cancel(id);
      applyDecisions.run();
      return answerWhenDurable(new WorkflowAnswer(WorkflowStatus.OK, null, 0, 0));
    }
    WorkflowState state = scheduler.state(id).orElseThrow();
    return answerNow(new WorkflowAnswer(WorkflowStatus.OK, state, 0, 0));
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
    WorkflowSpec spec =
        new WorkflowSpec(
            id, q.name(), account, body.payload(), body.steps(), body.recurrence(), false);
    Optional<Refusal> refusal = scheduler.refusalOf(spec);
    if (refusal.isPresent()) {
      applyDecisions.run();
      return answerNow(refusalAnswer(refusal.get()));
    }
    scheduler.submit(spec);
    applyDecisions.run();
    return answerWhenDurable(new WorkflowAnswer(WorkflowStatus.OK, null, 0, 0));
  }

  private WorkflowAnswer refusalAnswer(Refusal r) {
    long retryMillis = Math.max(1, r.returnMillis() - scheduler.nowMillis());
    return new WorkflowAnswer(
        WorkflowStatus.REFUSED, null, 0, retryMillis, r.reason().isOverShare());
  }

  private CompletableFuture<WorkflowAnswer> answerWhenDurable(WorkflowAnswer answer) {
    CompletableFuture<WorkflowAnswer> f = new CompletableFuture<>();
    pendingAnswers.add(f);
    journal.append(
        List.of(),
        () -> {
          pendingAnswers.remove(f);
          f.complete(answer);
        });
    return f;
  }

  private static CompletableFuture<WorkflowAnswer> answerNow(WorkflowAnswer answer) {
    return CompletableFuture.completedFuture(answer);
  }

  /**
   * Completes all pending answers as uncertain, because their records may or may not have been
   * stored.
   */
  void close() {
    pendingAnswers.forEach(f -> f.complete(WorkflowAnswer.of(WorkflowStatus.UNCERTAIN)));
    pendingAnswers.clear();
  }
}
