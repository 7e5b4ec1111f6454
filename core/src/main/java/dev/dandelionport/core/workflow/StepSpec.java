package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import java.util.List;

/**
 * A step of a workflow: identical tasks that start when the steps they depend on are done.
 *
 * @param tasks number of tasks
 * @param size resources of one task
 * @param estimateMillis rough run time of a task, as stated by the submitter
 * @param dependencies numbers of the steps that must be done first
 * @param checkpoints whether a task saves checkpoints
 * @param gang whether the tasks only make progress while all of them run
 * @param sameRack whether the tasks run slower when spread over several racks
 * @param requiredLabel label that a runner must have, empty for none
 * @param dataRack rack that holds the data, empty for none
 * @param maxPerRunner maximum number of tasks on one runner, 0 for no limit
 * @param speculative whether a task may run in several copies
 * @param longRunning whether the tasks run until the workflow is cancelled
 * @param bestEffort whether the tasks only use processor time that other tasks leave unused
 * @param image image that the tasks run, empty if not stated
 * @param latencyTargetMillis latency that long-running tasks must stay below, 0 for none
 * @param maxUnavailable number of tasks that the scheduler may keep unavailable at a time
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

  /**
   * Returns the resources that a task reserves on its runner. A best-effort task reserves no
   * processor time.
   */
  ResourceVector reserved() {
    return bestEffort ? new ResourceVector(0, 0, 0, size.memoryMb(), size.accelerators()) : size;
  }

  /** Returns a short description for the log, such as {@code 6x18000m/26000MB 4000ms gang}. */
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
