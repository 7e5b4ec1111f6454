package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Map;
import java.util.Optional;

/** Refuses jobs that can never run or that cannot finish before their deadline. */
final class AdmissionControl {

  /**
   * Maximum number of waiting urgent tasks. With more, the wait would be longer than the time for
   * which a caller keeps its request open.
   */
  static final int MAX_WAITING_URGENT_TASKS = 2_000;

  private final SchedulerState state;

  AdmissionControl(SchedulerState state) {
    this.state = state;
  }

  /** Returns the reason for refusing a job, or empty if the job is accepted. */
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
    // A declared run time is not sufficient to refuse a job, so the wait counts only once run times
    // have been measured.
    boolean runTimeKnown = state.runTimes.p10Millis(spec) > 0;
    if (runTimeKnown && waitMillis + state.runTimes.p10Millis(spec) >= remainingMillis) {
      return Optional.of("the queue for urgent work is too long to finish before the deadline");
    }
    return Optional.empty();
  }

  /**
   * Returns why a job can never run on the current workers and within the current limit of its
   * team, or empty.
   */
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
