package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.dispatch.PlatformInvariants.Submitted;
import dev.dandelionport.core.dispatch.SubmissionTries.Try;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowCallKind;
import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.VirtualTime;
import dev.dandelionport.core.workflow.WorkflowCodec;
import dev.dandelionport.core.workflow.WorkflowSpec;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Client that submits one workflow and returns with the same id, at any instance: when the told
 * time after a refusal has come, soon after an uncertain answer or none, and now and then with a
 * late copy.
 */
final class ReturningClient {

  private static final int MAX_TRIES = 4;

  /** Longest delay before a request without a definite answer is repeated, in milliseconds. */
  private static final int MAX_REPEAT_MILLIS = 300;

  /** Longest delay after the told time of a refusal, in milliseconds. */
  private static final int MAX_RETURN_DELAY_MILLIS = 200;

  /** One of so many answered tries is followed by a late copy. */
  private static final int TRIES_PER_COPY = 6;

  private static final int MIN_COPY_MILLIS = 500;
  private static final int MAX_COPY_MILLIS = 5_000;
  private static final int MIN_DEADLINE_MILLIS = 300;
  private static final int MAX_DEADLINE_MILLIS = 3_000;

  /** Interval at which the client looks whether its connection is broken, in milliseconds. */
  private static final long CONNECTION_CHECK_MILLIS = 40;

  /** Time after the deadline at which the client gives up, in milliseconds. */
  private static final long PATIENCE_MILLIS = 200;

  private final PlatformCluster cell;
  private final SubmissionTries tries;
  private final Random random;
  private final String id;
  private final Submitted workflow;
  private int triesSent;

  ReturningClient(
      PlatformCluster cell, SubmissionTries tries, Random random, String id, Submitted workflow) {
    this.cell = cell;
    this.tries = tries;
    this.random = random;
    this.id = id;
    this.workflow = workflow;
  }

  private WorkflowCall call(Try t) {
    WorkflowSpec spec =
        new WorkflowSpec("", "", "", t.payload(), workflow.steps, workflow.recurrence, false);
    return new WorkflowCall(
        WorkflowCallKind.SUBMIT,
        "h",
        "/" + workflow.queue + "/" + id,
        "key-" + workflow.account,
        WorkflowCodec.encodeSpec(spec));
  }

  /** Sends the request, unless it was sent often enough or no instance runs. */
  void send() {
    if (triesSent >= MAX_TRIES || cell.cluster.nodes.isEmpty()) {
      return;
    }
    triesSent++;
    WorkflowCluster.Node node = cell.cluster.anyNode();
    Try t = tries.send(id, node.name);
    long waitMillis = between(MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS);
    VirtualTime time = cell.time;
    time.afterNanos(
        time.latencyNanos(2), () -> node.process.run(() -> receive(node, t, waitMillis)));
    awaitAnswer(node, t, time.nowMillis() + waitMillis + PATIENCE_MILLIS);
  }

  private void receive(WorkflowCluster.Node node, Try t, long waitMillis) {
    long nowMillis = TimeUnit.NANOSECONDS.toMillis(node.process.monotonicNanos());
    node.instance
        .call(call(t), nowMillis + waitMillis)
        .thenAccept(
            a -> cell.time.afterNanos(cell.time.latencyNanos(2), () -> answered(node, t, a)));
  }

  private void awaitAnswer(WorkflowCluster.Node node, Try t, long deadlineMillis) {
    cell.time.afterMillis(
        CONNECTION_CHECK_MILLIS,
        () -> {
          if (!t.isUnderWay()) {
            return;
          }
          if (node.process.isKilled() || cell.time.nowMillis() >= deadlineMillis) {
            answered(node, t, WorkflowAnswer.of(WorkflowStatus.UNCERTAIN));
          } else {
            awaitAnswer(node, t, deadlineMillis);
          }
        });
  }

  private void answered(WorkflowCluster.Node node, Try t, WorkflowAnswer a) {
    if (!t.isUnderWay()) {
      return;
    }
    tries.answer(id, t, a.status());
    cell.trace.add(cell.time.nowMillis() + " ANSWER " + id + " " + t);
    if (random.nextInt(TRIES_PER_COPY) == 0) {
      cell.time.afterMillis(between(MIN_COPY_MILLIS, MAX_COPY_MILLIS), this::send);
    }
    if (a.status() == WorkflowStatus.REFUSED) {
      long delayMillis = a.retryMillis() + random.nextInt(MAX_RETURN_DELAY_MILLIS);
      cell.time.afterMillis(delayMillis, this::send);
    } else if (a.status() == WorkflowStatus.UNCERTAIN) {
      cell.time.afterMillis(random.nextInt(MAX_REPEAT_MILLIS), this::send);
    }
  }

  private int between(int min, int max) {
    return min + random.nextInt(max - min);
  }
}
