package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.HashMap;
import java.util.Map;

/**
 * Rules out in constant time steps of lower priority that fit on no runner, so that a pass over a
 * long backlog need not examine every runner for every step. It may report a fit where there is
 * none, but never the reverse.
 */
final class FreeCapacityBound {

  private final CellState cell;
  private final Headroom headroom;

  /**
   * Maximum free amount of each resource beside the headroom, by service. The maxima may come from
   * different runners.
   */
  private final Map<String, ResourceVector> maxFreeForOthers = new HashMap<>();

  /** The same including the headroom for urgent work. */
  private final Map<String, ResourceVector> maxFree = new HashMap<>();

  FreeCapacityBound(CellState cell, Headroom headroom) {
    this.cell = cell;
    this.headroom = headroom;
  }

  /**
   * Recomputes the maxima from all runners. Starts later in the pass only reduce free capacity, so
   * the maxima remain upper bounds.
   */
  void update() {
    maxFreeForOthers.clear();
    maxFree.clear();
    for (Runner r : cell.runners.values()) {
      if (r.isReady()) {
        ResourceVector freeForOthers = r.free().minus(headroom.headroomOn(r));
        maxFreeForOthers.merge(
            r.description().service(), freeForOthers.max(ResourceVector.ZERO), ResourceVector::max);
        ResourceVector free = r.free().max(ResourceVector.ZERO);
        maxFree.merge(r.description().service(), free, ResourceVector::max);
      }
    }
  }

  /** Returns whether a task of a step that is not urgent may fit on some runner. */
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
