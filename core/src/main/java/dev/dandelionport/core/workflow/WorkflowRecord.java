package dev.dandelionport.core.workflow;

import java.util.List;

/** A journal record. Replaying all records in order rebuilds the workflows. */
public sealed interface WorkflowRecord {

  /** A workflow was accepted at a wall-clock time, milliseconds since 1970. */
  record Accepted(WorkflowSpec spec, long atMillis) implements WorkflowRecord {}

  /**
   * A start of a task is intended on one incarnation of a runner; the start is sent only after this
   * record is durable.
   */
  record Intended(TaskKey task, int run, String runner, long incarnation)
      implements WorkflowRecord {}

  /** A run ended. */
  record Ended(TaskKey task, int run, RunEnd outcome, String checkpoint)
      implements WorkflowRecord {}

  /** A workflow reached a final state at a wall-clock time, milliseconds since 1970. */
  record Closed(String workflow, WorkflowState state, long atMillis) implements WorkflowRecord {}

  /** Workflows that had ended were removed and can no longer be queried. */
  record Removed(List<String> workflows) implements WorkflowRecord {
    /** Copies the list. */
    public Removed {
      workflows = List.copyOf(workflows);
    }
  }

  /** The owner applied this version of the configuration; later owners need it or a newer one. */
  record PolicyApplied(long version) implements WorkflowRecord {}

  /**
   * Progress of a task; part of snapshots.
   *
   * @param gangFailedRun number of the latest run of its gang that failed; 0 if none did
   * @param workflowStarted whether any task of the workflow has started
   */
  record TaskProgress(
      TaskKey task,
      int lastRun,
      int failures,
      int gangFailedRun,
      boolean done,
      boolean workflowStarted,
      String checkpoint)
      implements WorkflowRecord {}
}
