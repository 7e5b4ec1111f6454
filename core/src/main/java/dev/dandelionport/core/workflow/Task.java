package dev.dandelionport.core.workflow;

/** One task of a step. */
final class Task {
  final Step step;
  final TaskKey key;

  /** Number of the latest run; run numbers only increase. */
  int lastRun;

  int failures;

  /** How often this owner stopped its runs, or those of its gang, as stuck. */
  int stuckCount;

  /**
   * The runs that were stopped as stuck first, until the task is done; null if there are none. Of a
   * gang, only the first task has them.
   */
  HealthRecorder.Suspects suspects;

  boolean done;

  /** Checkpoint from which the next run continues, empty for none. */
  String checkpoint = "";

  /** The run that may be active; null while the task waits. */
  Run run;

  /** When the task may be started again, on the owner's monotonic clock. */
  long retryAtMillis;

  /** Number of starts refused since a runner last accepted one. */
  int refusedStarts;

  /** Runner on which the latest run failed; null if none did. */
  String failedOn;

  Task(Step step, int index) {
    this.step = step;
    this.key = new TaskKey(step.key.workflow(), step.key.occurrence(), step.key.step(), index);
  }

  boolean isWaiting() {
    return !done && run == null;
  }

  /** Returns whether it waits and its retry delay has passed. */
  boolean isStartable(long now) {
    return isWaiting() && retryAtMillis <= now;
  }
}
