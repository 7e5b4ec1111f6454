package dev.dandelionport.core.workflow;

/**
 * An order to start a run.
 *
 * @param task its task
 * @param run number of the run
 * @param payload input of the task
 * @param checkpoint checkpoint from which to continue, empty for none
 * @param ticket ticket of the advice service for this step and runner, empty if none is needed
 */
public record StartOrder(TaskKey task, int run, String payload, String checkpoint, String ticket) {}
