package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import java.util.LinkedHashSet;
import java.util.Set;

/** A runner as the scheduler sees it. */
final class Runner {
  RunnerDescription description;

  /** Whether the directory lists it now. */
  boolean listed = true;

  /** Start of the life that answered last; 0 if none has. */
  long incarnation;

  /**
   * Whether the present life has answered this owner, so that orders of former ones are refused.
   */
  boolean ownerConfirmed;

  /** Whether calls to it fail at present. */
  boolean unreachable;

  /** Highest number of an end that was taken over from the present life. */
  long lastEndNumber;

  final RunnerHealth health = new RunnerHealth();

  /** Runs that may be under way, in the order of their start. */
  final Set<Run> runs = new LinkedHashSet<>();

  ResourceVector used = ResourceVector.ZERO;

  /** Part of {@link #used} that is of the first priority. */
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

  /** Returns a name of the present life, which no other life of any runner has. */
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

  /** Returns a run here, or null. */
  Run findRun(TaskKey task, int number) {
    for (Run r : runs) {
      if (r.matches(task, number)) {
        return r;
      }
    }
    return null;
  }

  /** Returns how many tasks of a step run here. */
  int countRuns(Step s) {
    int n = 0;
    for (Run r : runs) {
      n += r.task.step == s ? 1 : 0;
    }
    return n;
  }

  /** Returns the label that names its rack, the last one. */
  String rack() {
    return description.labels().isEmpty()
        ? ""
        : description.labels().get(description.labels().size() - 1);
  }
}
