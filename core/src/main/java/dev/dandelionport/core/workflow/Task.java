package dev.dandelionport.core.workflow;

/** One task of a step. */
final class Task {
  final Step step;
  final TaskKey key;

  /** Number of the latest run; numbers only grow. */
  int lastRun;

  int failures;

  /** How often its runs, or its gang's, were stopped as stuck by this owner. */
  int stuck;

  boolean done;

  /** Checkpoint that the next run continues from, empty for none. */
  String saved = "";

  /** The run that may be under way; null while the task waits. */
  Run run;

  /** When the task may be tried again, on the owner's steady clock. */
  long retryMillis;

  /** How often starts of it were refused since a runner last took one. */
  int refused;

  /** Runner on which the latest run failed; null if none did. */
  String failedOn;

  Task(Step step, int index) {
    this.step = step;
    this.key = new TaskKey(step.key.workflow(), step.key.occurrence(), step.key.step(), index);
  }

  boolean waits() {
    return !done && run == null;
  }

  /** Returns whether it waits and may be tried now. */
  boolean mayStart(long now) {
    return waits() && retryMillis <= now;
  }
}
