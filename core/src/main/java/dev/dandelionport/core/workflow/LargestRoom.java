package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells in constant time that a step of lower priority fits nowhere, so that a pass over a long
 * backlog need not look at every runner for every step. It may only err on the side of a fit.
 */
final class LargestRoom {

  private final Cell cell;
  private final Headroom headroom;

  /** Most of each resource that any runner of a service has left; not all of the same runner. */
  private final Map<String, ResourceVector> rooms = new HashMap<>();

  /** The same with what is kept free for urgent work. */
  private final Map<String, ResourceVector> wholeRooms = new HashMap<>();

  LargestRoom(Cell cell, Headroom headroom) {
    this.cell = cell;
    this.headroom = headroom;
  }

  /** Looks at all runners; what is started later in the pass only takes room away. */
  void update() {
    rooms.clear();
    wholeRooms.clear();
    for (Runner r : cell.runners.values()) {
      if (r.listed && r.fenced && !r.silent) {
        ResourceVector left = r.free().minus(headroom.keptFree(r));
        rooms.merge(r.info.service(), left.max(ResourceVector.ZERO), ResourceVector::max);
        ResourceVector whole = r.free().max(ResourceVector.ZERO);
        wholeRooms.merge(r.info.service(), whole, ResourceVector::max);
      }
    }
  }

  /** Returns whether a runner may have room for a task of a step that is not urgent. */
  boolean mayFit(Step s, Queue q) {
    ResourceVector room = rooms.get(q.service());
    if (room == null) {
      return false;
    }
    ResourceVector size = s.spec.reserved();
    return size.fitsIn(room) || size.fitsIn(wholeRooms.get(q.service())) && headroom.givesWay(s, q);
  }
}
