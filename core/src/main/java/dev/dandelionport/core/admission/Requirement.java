package dev.dandelionport.core.admission;

import dev.dandelionport.core.common.ResourceVector;

/**
 * What a step requires of its pool.
 *
 * @param tasks number of tasks
 * @param size resources that a task takes of its account's quota
 * @param reserved resources that a task takes of its runner
 * @param gang whether all tasks must run at the same time
 * @param label label that a runner must have, empty for none
 * @param maxPerRunner maximum number of tasks on one runner, 0 for no limit
 */
public record Requirement(
    int tasks,
    ResourceVector size,
    ResourceVector reserved,
    boolean gang,
    String label,
    int maxPerRunner) {}
