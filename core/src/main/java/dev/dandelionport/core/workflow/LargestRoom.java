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

  /** Most cores and most memory that any runner of a service has left; not of the same runner. */
  private static final class Room {
    long milliCores;
    long memoryMb;
    int accelerators;

    void add(ResourceVector free) {
      milliCores = Math.max(milliCores, free.milliCores());
      memoryMb = Math.max(memoryMb, free.memoryMb());
      accelerators = Math.max(accelerators, free.accelerators());
    }
  }

  private final Cell cell;
  private final Headroom headroom;
  private final Map<String, Room> rooms = new HashMap<>();

  LargestRoom(Cell cell, Headroom headroom) {
    this.cell = cell;
    this.headroom = headroom;
  }

  /** Looks at all runners; what is started later in the pass only takes room away. */
  void update() {
    rooms.clear();
    for (Runner r : cell.runners.values()) {
      if (r.listed && r.fenced && !r.silent) {
        rooms
            .computeIfAbsent(r.info.service(), k -> new Room())
            .add(r.free().minus(headroom.keptFree(r)));
      }
    }
  }

  /** Returns whether a runner may have room for a task of a step that is not urgent. */
  boolean mayFit(Step s, Queue q) {
    Room room = rooms.get(q.service());
    ResourceVector size = s.spec.reserved();
    return room != null
        && size.milliCores() <= room.milliCores
        && size.memoryMb() <= room.memoryMb
        && size.accelerators() <= room.accelerators;
  }
}
