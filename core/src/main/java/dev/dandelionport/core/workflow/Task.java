package dev.dandelionport.core.workflow;

/** One task of a step. */
final class Task {
  final Step step;
  final TaskKey key;

  /** Number of the latest run; numbers only grow. */
  int lastRun;

  int failures;

  /** How often its runs, or its gang's, were stopped as stuck by this owner. */
  int stuckCount;

  boolean done;

  /** Checkpoint that the next run continues from, empty for none. */
  String checkpoint = "";

  /** The run that may be under way; null while the task waits. */
  Run run;

  /** When the task may be tried again, on the owner's steady clock. */
  long retryAtMillis;

  /** How often starts of it were refused since a runner last took one. */
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

  /** Returns whether it waits and may be tried now. */
  boolean isStartable(long now) {
    return isWaiting() && retryAtMillis <= now;
  }
}
