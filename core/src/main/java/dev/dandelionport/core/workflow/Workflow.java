package dev.dandelionport.core.workflow;

import java.util.ArrayList;
import java.util.List;

/** A workflow and the steps of all its occurrences that have come due. */
final class Workflow {
  final WorkflowSpec spec;

  /** When it was accepted, wall-clock time in milliseconds since 1970. */
  final long acceptedWallMillis;

  /** When it was accepted, on the owner's monotonic clock. */
  final long acceptedMillis;

  final List<Step> steps = new ArrayList<>();

  /** Number of occurrences whose steps were created. */
  int openedOccurrences;

  WorkflowState state = WorkflowState.QUEUED;

  /** Whether any of its tasks has started. */
  boolean started;

  /** Latest state whose record is durable; callers see final states only through this field. */
  WorkflowState durableState = WorkflowState.QUEUED;

  /** When it ended, wall-clock time in milliseconds since 1970. */
  long closedWallMillis;

  Workflow(WorkflowSpec spec, long acceptedWallMillis, long acceptedMillis) {
    this.spec = spec;
    this.acceptedWallMillis = acceptedWallMillis;
    this.acceptedMillis = acceptedMillis;
  }

  /** Creates the steps of the next occurrence. */
  void openNextOccurrence() {
    for (int i = 0; i < spec.steps().size(); i++) {
      steps.add(new Step(this, openedOccurrences, i));
    }
    openedOccurrences++;
  }

  Step step(int occurrence, int number) {
    int i = occurrence * spec.steps().size() + number;
    boolean valid = occurrence >= 0 && number >= 0 && number < spec.steps().size();
    return valid && i < steps.size() ? steps.get(i) : null;
  }

  /** Returns whether all dependencies of a step are done. */
  boolean areDependenciesDone(Step s) {
    for (int dependency : s.spec.dependencies()) {
      if (!step(s.key.occurrence(), dependency).isDone()) {
        return false;
      }
    }
    return true;
  }

  boolean allDone() {
    return openedOccurrences >= spec.recurrence().occurrences()
        && steps.stream().allMatch(Step::isDone);
  }

  boolean hasRuns() {
    return steps.stream().anyMatch(Step::hasRuns);
  }
}
