package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.VirtualTime;
import dev.dandelionport.core.workflow.WorkflowRecord;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class PendingAnswersTest {

  private final VirtualTime time = new VirtualTime(1);
  private final FakeProcess process = new FakeProcess(time);
  private final Shard shard = StoreContext.shard();
  private final WorkflowJournal journal =
      new WorkflowJournal(
          StoreContext.of(new FakeSharedStore(time).client("i", process::run), process),
          shard,
          1,
          new HistoryReader.History(List.of(), 1, 1, List.of(), 0, List.of(), List.of()),
          () -> {});
  private final PendingAnswers answers = new PendingAnswers(shard);

  PendingAnswersTest() {
    answers.setJournal(journal);
  }

  private CompletableFuture<WorkflowAnswer> accept(String workflow) {
    return shard.call(
        () -> {
          long position = answers.position();
          journal.append(List.of(new WorkflowRecord.Removed(List.of(workflow))), () -> {});
          return answers.accepted(workflow, position);
        });
  }

  private void close() {
    shard.run(
        () -> {
          journal.stop();
          answers.close();
        });
  }

  // All answers of an ending owner were uncertain, also those of which nothing had left it.
  @Test
  void answerWithoutSentRecordsIsNotOwner() {
    CompletableFuture<WorkflowAnswer> sent = accept("a");
    CompletableFuture<WorkflowAnswer> unsent = accept("b");
    close();
    assertThat(sent.join().status()).isEqualTo(WorkflowStatus.UNCERTAIN);
    assertThat(unsent.join().status()).isEqualTo(WorkflowStatus.NOT_OWNER);
  }

  // Guards against a repeated submission that is reported as without effect because it came after
  // the last batch was sent, although the record of the first one is in that batch.
  @Test
  void repeatedSubmissionOfSentRecordIsUncertain() {
    accept("a");
    accept("b");
    CompletableFuture<WorkflowAnswer> repeated = shard.call(() -> answers.repeated("a"));
    close();
    assertThat(repeated.join().status()).isEqualTo(WorkflowStatus.UNCERTAIN);
  }

  // Guards against a submission that is reported as without effect because its later records were
  // not sent, although its first one was.
  @Test
  void submissionWhoseFirstRecordWasSentIsUncertain() {
    CompletableFuture<WorkflowAnswer> answer =
        shard.call(
            () -> {
              long position = answers.position();
              journal.append(List.of(new WorkflowRecord.Removed(List.of("a"))), () -> {});
              journal.append(List.of(new WorkflowRecord.Removed(List.of("b"))), () -> {});
              return answers.accepted("a", position);
            });
    close();
    assertThat(answer.join().status()).isEqualTo(WorkflowStatus.UNCERTAIN);
  }
}
