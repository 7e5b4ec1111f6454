package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Map;
import java.util.Optional;

/** Finds the reason to refuse a job that can never run, or not in time. */
final class AdmissionControl {

  /**
   * Urgent tasks that may wait; beyond it a caller would wait for longer than it is on the line.
   */
  static final int MAX_WAITING_URGENT_TASKS = 2_000;

  private final SchedulerState state;

  AdmissionControl(SchedulerState state) {
    this.state = state;
  }

  /** Returns why a job is refused, if it is. */
  Optional<String> refusalReason(JobSpec spec) {
    Optional<String> unschedulable = unschedulableReason(spec);
    if (unschedulable.isPresent()) {
      return unschedulable;
    }
    long remainingMillis = spec.deadlineMillis() - state.now;
    if (spec.workloadClass() != WorkloadClass.SERVICE
        && state.runTimes.p10Millis(spec) >= remainingMillis) {
      return Optional.of(
          "too late to finish: tasks of this kind run at least "
              + state.runTimes.p10Millis(spec)
              + " ms");
    }
    return spec.workloadClass() == WorkloadClass.URGENT
        ? urgentRefusalReason(spec, remainingMillis)
        : unschedulable;
  }

  private Optional<String> urgentRefusalReason(JobSpec spec, long remainingMillis) {
    int waitingTasks = state.waiting.waitingTasks(WorkloadClass.URGENT);
    if (waitingTasks + spec.tasks() > MAX_WAITING_URGENT_TASKS) {
      return Optional.of("the queue for urgent work is full");
    }
    long slots = Math.max(1, state.fleet.capacity().slots());
    long waitMillis = waitingTasks * state.runTimes.medianMillis(spec) / slots;
    // A declared run time is no reason to refuse; the wait counts once run times are known.
    boolean runTimeKnown = state.runTimes.p10Millis(spec) > 0;
    if (runTimeKnown && waitMillis + state.runTimes.p10Millis(spec) >= remainingMillis) {
      return Optional.of("the queue for urgent work is too long to finish before the deadline");
    }
    return Optional.empty();
  }

  /** Returns why a job can never run on the workers and limits of now, if so. */
  Optional<String> unschedulableReason(JobSpec spec) {
    boolean startsTogether =
        spec.workloadClass() == WorkloadClass.GANG || spec.workloadClass() == WorkloadClass.SERVICE;
    int limit = state.teams.of(spec.key().team()).limit;
    if (startsTogether && spec.tasks() > limit) {
      return Optional.of(
          "needs " + spec.tasks() + " tasks at once, more than the team's limit of " + limit);
    }
    Map<ResourceVector, Integer> workersByCapacity = state.fleet.workersByCapacity();
    if (workersByCapacity.isEmpty()) {
      return Optional.empty();
    }
    long placeableTasks = 0;
    for (Map.Entry<ResourceVector, Integer> e : workersByCapacity.entrySet()) {
      placeableTasks += (long) spec.taskSize().countFittingIn(e.getKey()) * e.getValue();
    }
    if (placeableTasks == 0) {
      return Optional.of("a task is larger than any worker");
    }
    if (spec.workloadClass() == WorkloadClass.GANG && placeableTasks < spec.tasks()) {
      return Optional.of(
          "needs " + spec.tasks() + " tasks at once, the workers have room for " + placeableTasks);
    }
    return Optional.empty();
  }
}
