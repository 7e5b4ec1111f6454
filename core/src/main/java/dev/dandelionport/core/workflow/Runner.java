package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import java.util.LinkedHashSet;
import java.util.Set;

/** The scheduler's view of a runner and of the runs on it. */
final class Runner {
  RunnerDescription description;

  /** When the description of this incarnation was first read, on the owner's monotonic clock. */
  long describedMillis;

  /** Whether the directory currently lists it. */
  boolean listed = true;

  /**
   * Incarnation that reported last: its start in milliseconds since 1970; 0 if none has reported.
   */
  long incarnation;

  /** When that incarnation first reported, on the owner's monotonic clock. */
  long incarnationSeenMillis;

  /**
   * Whether the current incarnation has reported to this owner. From then on, it refuses orders of
   * previous owners.
   */
  boolean ownerConfirmed;

  /** Whether calls to it currently fail. */
  boolean unresponsive;

  /** Highest number of an end that was handled, for the current incarnation. */
  long lastEndNumber;

  /** Whether its latest report may have left out ends. */
  boolean endsLeftOut;

  final RunnerHealth health = new RunnerHealth();

  /** Runs that may be active, in the order of their start. */
  final Set<Run> runs = new LinkedHashSet<>();

  ResourceVector used = ResourceVector.ZERO;

  /** Part of {@link #used} that runs of priority 0 take. */
  ResourceVector urgentUsed = ResourceVector.ZERO;

  Runner(RunnerDescription description) {
    this.description = description;
  }

  ResourceVector free() {
    return description.capacity().minus(used);
  }

  String id() {
    return description.id();
  }

  /** Returns a key of the current incarnation that is unique among all runners and incarnations. */
  String incarnationKey() {
    return id() + incarnation;
  }

  void add(Run r) {
    if (runs.add(r)) {
      used = used.plus(r.reserved);
      urgentUsed = r.urgent ? urgentUsed.plus(r.reserved) : urgentUsed;
    }
  }

  void remove(Run r) {
    if (runs.remove(r)) {
      used = used.minus(r.reserved);
      urgentUsed = r.urgent ? urgentUsed.minus(r.reserved) : urgentUsed;
    }
  }

  /** Returns a run on this runner, or null. */
  Run findRun(TaskKey task, int number) {
    for (Run r : runs) {
      if (r.matches(task, number)) {
        return r;
      }
    }
    return null;
  }

  /** Returns how many runs of a step are on this runner. */
  int countRuns(Step s) {
    int n = 0;
    for (Run r : runs) {
      n += r.task.step == s ? 1 : 0;
    }
    return n;
  }

  /** Returns the rack, which is the last label; empty without labels. */
  String rack() {
    return description.labels().isEmpty()
        ? ""
        : description.labels().get(description.labels().size() - 1);
  }
}
