package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Map;
import java.util.Optional;

/** Finds the reason to refuse a job that can never run, or not in time. */
final class Admission {

  /**
   * Urgent tasks that may wait; beyond it a caller would wait for longer than it is on the line.
   */
  static final int MAX_URGENT_WAITING = 2_000;

  private final State state;

  Admission(State state) {
    this.state = state;
  }

  /** Returns why a job is refused, if it is. */
  Optional<String> refusal(JobSpec spec) {
    Optional<String> never = neverRuns(spec);
    if (never.isPresent()) {
      return never;
    }
    long left = spec.deadlineMillis() - state.now;
    if (spec.workloadClass() != WorkloadClass.SERVICE && state.runTimes.low(spec) >= left) {
      return Optional.of(
          "too late to finish: tasks of this kind run at least "
              + state.runTimes.low(spec)
              + " ms");
    }
    return spec.workloadClass() == WorkloadClass.URGENT ? urgentRefusal(spec, left) : never;
  }

  private Optional<String> urgentRefusal(JobSpec spec, long left) {
    int ahead = state.waiting.tasks(WorkloadClass.URGENT);
    if (ahead + spec.tasks() > MAX_URGENT_WAITING) {
      return Optional.of("the queue for urgent work is full");
    }
    long slots = Math.max(1, state.fleet.capacity().slots());
    long wait = ahead * state.runTimes.middle(spec) / slots;
    // A declared run time is no reason to refuse; the wait counts once run times are known.
    boolean known = state.runTimes.low(spec) > 0;
    if (known && wait + state.runTimes.low(spec) >= left) {
      return Optional.of("the queue for urgent work is too long to finish before the deadline");
    }
    return Optional.empty();
  }

  /** Returns why a job can never run on the workers and limits of now, if so. */
  Optional<String> neverRuns(JobSpec spec) {
    boolean allAtOnce =
        spec.workloadClass() == WorkloadClass.GANG || spec.workloadClass() == WorkloadClass.SERVICE;
    int limit = state.teams.of(spec.key().team()).limit;
    if (allAtOnce && spec.tasks() > limit) {
      return Optional.of(
          "needs " + spec.tasks() + " tasks at once, more than the team's limit of " + limit);
    }
    Map<ResourceVector, Integer> shapes = state.fleet.shapes();
    if (shapes.isEmpty()) {
      return Optional.empty();
    }
    long copies = 0;
    for (Map.Entry<ResourceVector, Integer> e : shapes.entrySet()) {
      copies += (long) spec.taskSize().countFittingIn(e.getKey()) * e.getValue();
    }
    if (copies == 0) {
      return Optional.of("a task is larger than any worker");
    }
    if (spec.workloadClass() == WorkloadClass.GANG && copies < spec.tasks()) {
      return Optional.of(
          "needs " + spec.tasks() + " tasks at once, the workers have room for " + copies);
    }
    return Optional.empty();
  }
}
