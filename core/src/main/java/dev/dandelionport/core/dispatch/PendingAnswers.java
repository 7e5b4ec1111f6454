package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowStatus;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Answers that wait until the records behind them are durable. Each remembers the length of the
 * journal before its first record, so that an ending owner can tell which records were never sent
 * to the store. Guarded by the owner's shard.
 */
final class PendingAnswers {

  /**
   * An answer that is not given yet.
   *
   * @param position number of records in the journal before the first one behind the answer
   */
  private record Pending(long position, CompletableFuture<WorkflowAnswer> answer) {}

  /** Answers in the order of the requests. */
  private final Set<Pending> answers = new LinkedHashSet<>();

  /** Accepted workflows whose records are not durable yet, with the position of their records. */
  private final Map<String, Long> undurableWorkflows = new HashMap<>();

  private final Shard shard;
  private WorkflowJournal journal;

  PendingAnswers(Shard shard) {
    this.shard = shard;
  }

  void setJournal(WorkflowJournal j) {
    journal = j;
  }

  /** Returns the position of the next record. */
  long position() {
    return journal.appendedRecords();
  }

  /** Returns whether the record of an accepted workflow is durable. */
  boolean isDurable(String workflow) {
    return !undurableWorkflows.containsKey(workflow);
  }

  /** Returns the answer to a submission that was accepted with records from {@code position} on. */
  CompletableFuture<WorkflowAnswer> accepted(String workflow, long position) {
    undurableWorkflows.put(workflow, position);
    return repeated(workflow);
  }

  /** Returns the answer to a repeated submission of a workflow whose record is not durable yet. */
  CompletableFuture<WorkflowAnswer> repeated(String workflow) {
    return whenDurable(undurableWorkflows.get(workflow), () -> undurableWorkflows.remove(workflow));
  }

  /** Returns the answer to a request whose records begin at {@code position}. */
  CompletableFuture<WorkflowAnswer> whenDurable(long position) {
    return whenDurable(position, () -> {});
  }

  private CompletableFuture<WorkflowAnswer> whenDurable(long position, Runnable onDurable) {
    Pending p = new Pending(position, new CompletableFuture<>());
    answers.add(p);
    journal.append(
        List.of(),
        () -> {
          answers.remove(p);
          onDurable.run();
          complete(p, WorkflowStatus.OK);
        });
    return p.answer();
  }

  /**
   * Completes all answers after the journal has been stopped: as "not the owner" if none of the
   * records behind them was sent to the store, otherwise as uncertain, because they may or may not
   * have been stored.
   */
  void close() {
    for (Pending p : answers) {
      boolean unsent = p.position() >= journal.sentRecords();
      complete(p, unsent ? WorkflowStatus.NOT_OWNER : WorkflowStatus.UNCERTAIN);
    }
    answers.clear();
  }

  private void complete(Pending p, WorkflowStatus status) {
    shard.runAfterUnlock(() -> p.answer().complete(WorkflowAnswer.of(status)));
  }
}
