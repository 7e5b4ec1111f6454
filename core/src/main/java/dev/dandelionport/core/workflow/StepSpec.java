package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import java.util.List;

/**
 * One step of a workflow: equal tasks that start when the steps they depend on are done.
 *
 * @param tasks number of tasks
 * @param size resources of one task
 * @param estimateMillis rough run time of a task as its submitter states it
 * @param dependencies numbers of the steps that must be done first
 * @param checkpoints whether a task saves its progress
 * @param gang whether the tasks only work while all of them are present
 * @param sameRack whether the tasks are slower on more than one rack
 * @param requiredLabel label that a runner must have, empty for none
 * @param dataRack rack that holds the data, empty for none
 * @param maxPerRunner most tasks on one runner, 0 for no bound
 * @param speculative whether a task may run in several copies
 * @param longRunning whether the tasks run until the workflow is cancelled
 * @param bestEffort whether the tasks only use processor time that others leave
 * @param image what the tasks run, empty if not stated
 * @param latencyTargetMillis response time that lasting tasks must stay below, 0 for none
 * @param maxUnavailable tasks that may be away at a time because of the scheduler
 */
public record StepSpec(
    int tasks,
    ResourceVector size,
    long estimateMillis,
    List<Integer> dependencies,
    boolean checkpoints,
    boolean gang,
    boolean sameRack,
    String requiredLabel,
    String dataRack,
    int maxPerRunner,
    boolean speculative,
    boolean longRunning,
    boolean bestEffort,
    String image,
    long latencyTargetMillis,
    int maxUnavailable) {

  /** Copies the list. */
  public StepSpec {
    dependencies = List.copyOf(dependencies);
  }

  /** Returns what a task takes of its runner's room. */
  ResourceVector reserved() {
    return bestEffort ? new ResourceVector(0, 0, 0, size.memoryMb(), size.accelerators()) : size;
  }

  /** Returns a short description for logs, such as {@code 6x18000m/26000MB 4000ms gang}. */
  String summary() {
    StringBuilder b = new StringBuilder();
    b.append(tasks).append('x').append(size.milliCores()).append("m/");
    b.append(size.memoryMb()).append("MB ").append(estimateMillis).append("ms");
    b.append(gang ? " gang" : "").append(bestEffort ? " filler" : "");
    b.append(checkpoints ? " checkpoints" : "").append(longRunning ? " lasting" : "");
    b.append(maxPerRunner > 0 ? " atMost" + maxPerRunner : "");
    return b.append(speculative ? " speculative" : "").toString();
  }
}
