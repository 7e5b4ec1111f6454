package dev.dandelionport.core.workflow;

import java.util.List;

/** An action that {@link WorkflowScheduler} requests from its caller. */
public sealed interface WorkflowEffect {

  /**
   * Starts a run, once its record is durable. The sender must obtain the order from {@link
   * WorkflowScheduler#prepareStart} immediately before sending it.
   */
  record Start(TaskKey task, int run, String runner) implements WorkflowEffect {}

  /** Stops a run; does not wait for any record. */
  record Stop(TaskKey task, int run, String runner) implements WorkflowEffect {}

  /** Publishes a state to callers once all records produced so far are durable. */
  record PublishState(String workflow, WorkflowState state) implements WorkflowEffect {}

  /** A log entry about a decision; the fields alternate between name and value. */
  record LogEntry(Topic topic, List<Object> fields) implements WorkflowEffect {
    /** Copies the list. */
    public LogEntry {
      fields = List.copyOf(fields);
    }
  }

  /** Topic of a {@link LogEntry}. */
  enum Topic {
    ACCEPTED,
    PLACED,
    WAITING,
    ENDED,
    STOPPED,
    STUCK_RESOLVED,
    CLOSED,
    RUNNER_HELD,
    RUNNER_REBORN,
    RUN_IN_OTHER_INCARNATION,
    RUNNER_LISTED,
    RUNNER_GONE,
    ENDS_LEFT_OUT,
    ADVICE,
    REFUSED
  }
}
