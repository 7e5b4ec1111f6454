package dev.dandelionport.core.workflow;

import java.util.List;

/** Something that {@link WorkflowScheduler} wants done. */
public sealed interface WorkflowEffect {

  /**
   * Starts a run. Its record must be durable first; whoever sends it asks {@link
   * WorkflowScheduler#prepareStart} just before.
   */
  record Start(TaskKey task, int run, String runner) implements WorkflowEffect {}

  /** Stops a run, at once. */
  record Stop(TaskKey task, int run, String runner) implements WorkflowEffect {}

  /** Shows a state to callers once the records made so far are durable. */
  record PublishState(String workflow, WorkflowState state) implements WorkflowEffect {}

  /** A decision that is worth a line of the log; the fields alternate between name and value. */
  record LogEntry(Topic topic, List<Object> fields) implements WorkflowEffect {
    /** Copies the list. */
    public LogEntry {
      fields = List.copyOf(fields);
    }
  }

  /** What a {@link LogEntry} is about. */
  enum Topic {
    ACCEPTED,
    PLACED,
    WAITING,
    ENDED,
    STOPPED,
    CLOSED,
    RUNNER_HELD,
    RUNNER_REBORN,
    RUNNER_LISTED,
    RUNNER_GONE,
    ADVICE
  }
}
