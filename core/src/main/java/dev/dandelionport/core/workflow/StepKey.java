package dev.dandelionport.core.workflow;

/** Identifies a step of one occurrence of a workflow. */
public record StepKey(String workflow, int occurrence, int step) {

  @Override
  public String toString() {
    return workflow + '.' + occurrence + '.' + step;
  }
}
