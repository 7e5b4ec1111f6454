package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells in constant time that a step of lower priority fits nowhere, so that a pass over a long
 * backlog need not look at every runner for every step. It may only err on the side of a fit.
 */
final class FreeCapacityBound {

  private final CellState cell;
  private final Headroom headroom;

  /** Most of each resource that any runner of a service has left; not all of the same runner. */
  private final Map<String, ResourceVector> maxFreeForOthers = new HashMap<>();

  /** The same with what is kept free for urgent work. */
  private final Map<String, ResourceVector> maxFree = new HashMap<>();

  FreeCapacityBound(CellState cell, Headroom headroom) {
    this.cell = cell;
    this.headroom = headroom;
  }

  /** Looks at all runners; what is started later in the pass only takes room away. */
  void update() {
    maxFreeForOthers.clear();
    maxFree.clear();
    for (Runner r : cell.runners.values()) {
      if (r.listed && r.ownerConfirmed && !r.unreachable) {
        ResourceVector freeForOthers = r.free().minus(headroom.headroomOn(r));
        maxFreeForOthers.merge(
            r.description.service(), freeForOthers.max(ResourceVector.ZERO), ResourceVector::max);
        ResourceVector free = r.free().max(ResourceVector.ZERO);
        maxFree.merge(r.description.service(), free, ResourceVector::max);
      }
    }
  }

  /** Returns whether a runner may have room for a task of a step that is not urgent. */
  boolean mayFit(Step s, Queue q) {
    ResourceVector bound = maxFreeForOthers.get(q.service());
    if (bound == null) {
      return false;
    }
    ResourceVector size = s.spec.reserved();
    return size.fitsIn(bound)
        || size.fitsIn(maxFree.get(q.service())) && headroom.mayUseHeadroom(s, q);
  }
}
