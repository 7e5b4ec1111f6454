package dev.dandelionport.core.admission;

import dev.dandelionport.core.common.ResourceVector;

/**
 * What a submission needs from one pool. Times are on the owner's monotonic clock.
 *
 * @param account account that submits it
 * @param priority priority of its queue; 0 is the highest
 * @param size resources of one task of the step that can start first
 * @param dueMillis when it should be done
 * @param worthlessMillis when its result is of no use any more
 * @param pathMillis time of its critical path if all runs are short
 * @param work its work in the pool if all runs are short
 */
public record Demand(
    String account,
    int priority,
    ResourceVector size,
    long dueMillis,
    long worthlessMillis,
    double pathMillis,
    Work work) {

  /** Returns the time that it needs after its start even if it had the whole capacity. */
  double shortestMillis(ResourceVector capacity) {
    return Math.max(pathMillis, work.millisOn(capacity, size));
  }
}
