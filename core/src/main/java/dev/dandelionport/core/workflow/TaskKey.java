package dev.dandelionport.core.workflow;

/**
 * Identifies a task.
 *
 * @param workflow id of its workflow
 * @param occurrence occurrence of the workflow, from 0
 * @param step number of the step
 * @param index number of the task in its step
 */
public record TaskKey(String workflow, int occurrence, int step, int index) {

  @Override
  public String toString() {
    return workflow + '.' + occurrence + '.' + step + '.' + index;
  }
}
