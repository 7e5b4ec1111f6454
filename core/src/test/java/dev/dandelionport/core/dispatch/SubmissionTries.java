package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.message.WorkflowStatus;
import dev.dandelionport.core.testing.VirtualTime;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * All tries to submit workflows, with their answers. Each try has a payload of its own, so that a
 * start tells which of them was stored. Checks that this try was not rejected and that not all
 * tries were. Collects violations instead of failing immediately.
 */
final class SubmissionTries {

  /** Answers that say that a request had no effect. */
  private static final Set<WorkflowStatus> REJECTIONS =
      EnumSet.of(
          WorkflowStatus.REFUSED,
          WorkflowStatus.NO_ACCOUNT,
          WorkflowStatus.NO_QUEUE,
          WorkflowStatus.INVALID);

  /** One request to submit a workflow. */
  static final class Try {
    /** Number of the try among those of its workflow, from 0. */
    final int number;

    final String node;
    final long sentMillis;

    /** The answer, {@code UNCERTAIN} if there was none, or null while it is awaited. */
    private WorkflowStatus status;

    private long answeredMillis;

    private Try(int number, String node, long sentMillis) {
      this.number = number;
      this.node = node;
      this.sentMillis = sentMillis;
    }

    /** Returns the payload of the workflow that this try submits. */
    String payload() {
      return Integer.toString(number);
    }

    boolean isUnderWay() {
      return status == null;
    }

    private boolean isRejected() {
      return REJECTIONS.contains(status);
    }

    @Override
    public String toString() {
      return node + " " + sentMillis + " " + status + " " + answeredMillis;
    }
  }

  private final VirtualTime time;
  private final List<String> violations;
  private final Map<String, List<Try>> tries = new HashMap<>();

  /** The stored try of each workflow that has started. */
  private final Map<String, Try> stored = new HashMap<>();

  /** Creates an empty record; {@code violations} receives a line for each violation. */
  SubmissionTries(VirtualTime time, List<String> violations) {
    this.time = time;
    this.violations = violations;
  }

  /** Records a try that is sent now. */
  Try send(String workflow, String node) {
    List<Try> all = tries.computeIfAbsent(workflow, k -> new ArrayList<>());
    Try t = new Try(all.size(), node, time.nowMillis());
    all.add(t);
    return t;
  }

  /** Records the answer to a try, and checks it if a task has started already. */
  void answer(String workflow, Try t, WorkflowStatus status) {
    t.status = status;
    t.answeredMillis = time.nowMillis();
    if (stored.containsKey(workflow)) {
      check(workflow, "answer " + status + " after a start");
    }
  }

  /**
   * Records and checks the start of a task with the payload of its stored try; ignores workflows
   * without a recorded try.
   */
  void taskStarted(String workflow, String payload) {
    if (tries.containsKey(workflow)) {
      stored.put(workflow, tries.get(workflow).get(Integer.parseInt(payload)));
      check(workflow, "start");
    }
  }

  private void check(String workflow, String event) {
    List<Try> all = tries.get(workflow);
    String prefix = time.nowMillis() + " " + workflow + " " + event + ": ";
    if (all.stream().allMatch(Try::isRejected)) {
      violations.add(prefix + "all tries were rejected " + all);
    }
    Try t = stored.get(workflow);
    if (t.isRejected()) {
      violations.add(prefix + "the stored try " + t.number + " was rejected " + all);
    }
  }

  /** Returns the tries of all workflows. */
  Stream<Try> all() {
    return tries.values().stream().flatMap(List::stream);
  }

  /** Returns the number of tries with an answer. */
  long count(WorkflowStatus status) {
    return all().filter(t -> t.status == status).count();
  }

  /** Returns the ids of the workflows of which a try was accepted. */
  List<String> accepted() {
    return tries.keySet().stream()
        .filter(id -> tries.get(id).stream().anyMatch(t -> t.status == WorkflowStatus.OK))
        .sorted()
        .toList();
  }
}
