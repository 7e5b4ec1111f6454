package dev.dandelionport.core.workflow;

import java.util.List;

/** A fact of the journal. Replaying all facts in order rebuilds the workflows. */
public sealed interface WorkflowRecord {

  /** A workflow was accepted at a wall-clock time, milliseconds since 1970. */
  record Accepted(WorkflowSpec spec, long atMillis) implements WorkflowRecord {}

  /** A task may be started on one life of a runner from now on. */
  record Intended(TaskKey task, int run, String runner, long incarnation)
      implements WorkflowRecord {}

  /** A run ended. */
  record Ended(TaskKey task, int run, RunEnd outcome, String checkpoint)
      implements WorkflowRecord {}

  /** A workflow is over since a wall-clock time, milliseconds since 1970. */
  record Closed(String workflow, WorkflowState state, long atMillis) implements WorkflowRecord {}

  /** A workflow that is over can no longer be asked for. */
  record Removed(List<String> workflows) implements WorkflowRecord {
    /** Copies the list. */
    public Removed {
      workflows = List.copyOf(workflows);
    }
  }

  /** The owner acted on this version of the configuration; later owners need it or a newer one. */
  record PolicyApplied(long version) implements WorkflowRecord {}

  /**
   * Where a task stands; part of snapshots.
   *
   * @param gangFailedRun latest run of its gang that failed; 0 if none did
   * @param workflowStarted whether a runner has had a task of the workflow
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
