package dev.dandelionport.core.workflow;

import java.util.List;

/**
 * A workflow as it was submitted.
 *
 * @param id id chosen by the caller
 * @param queue name of its queue
 * @param account client account that submitted it, empty for an open queue
 * @param payload input of all its tasks
 * @param steps steps, numbered from 0
 * @param recurrence when the steps run
 * @param excess whether the account exceeded the submission rate of its weight with this workflow;
 *     how it then ranks also depends on what the account uses
 */
public record WorkflowSpec(
    String id,
    String queue,
    String account,
    String payload,
    List<StepSpec> steps,
    Recurrence recurrence,
    boolean excess) {

  /** Copies the list. */
  public WorkflowSpec {
    steps = List.copyOf(steps);
  }

  /** Returns a copy with the given value of {@code excess}. */
  public WorkflowSpec withExcess(boolean isExcess) {
    return new WorkflowSpec(id, queue, account, payload, steps, recurrence, isExcess);
  }

  /** Returns the length of the critical path by the estimated run times, in milliseconds. */
  public long criticalPathMillis() {
    long[] ends = new long[steps.size()];
    long longest = 0;
    for (int i = 0; i < ends.length; i++) {
      for (int dependency : steps.get(i).dependencies()) {
        ends[i] = Math.max(ends[i], ends[dependency]);
      }
      ends[i] += steps.get(i).estimateMillis();
      longest = Math.max(longest, ends[i]);
    }
    return longest;
  }
}
