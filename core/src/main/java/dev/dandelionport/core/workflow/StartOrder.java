package dev.dandelionport.core.workflow;

/**
 * An order to start a run.
 *
 * @param task its task
 * @param run number of the run
 * @param payload what the task is told to do
 * @param checkpoint checkpoint to continue from, empty for none
 * @param ticket right to run the step there, empty if none is needed
 */
public record StartOrder(TaskKey task, int run, String payload, String checkpoint, String ticket) {}
