package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/** The waiting jobs of one team, except gangs. */
final class TeamQueue {

  private record Key(WorkloadClass workloadClass, ResourceVector shape) {}

  final TeamId id;
  private final Map<Key, ShapeQueue> urgent = new LinkedHashMap<>();
  private final Map<Key, ShapeQueue> nonUrgent = new LinkedHashMap<>();

  TeamQueue(TeamId id) {
    this.id = id;
  }

  ShapeQueue queueOf(JobState j) {
    Key key = new Key(j.workloadClass(), ShapeQueue.shapeOf(j.spec.taskSize()));
    return queuesByKey(j.workloadClass() == WorkloadClass.URGENT)
        .computeIfAbsent(key, k -> new ShapeQueue(this, k.workloadClass()));
  }

  /** Returns the unblocked queue whose first job goes next, or null if there is none. */
  ShapeQueue next(boolean urgentWork) {
    ShapeQueue best = null;
    for (ShapeQueue q : queuesByKey(urgentWork).values()) {
      boolean startable = q.block == ShapeQueue.Block.NONE && !q.isEmpty();
      if (startable && (best == null || q.precedes(best))) {
        best = q;
      }
    }
    return best;
  }

  /**
   * Returns the blocked queue that goes first among those that {@code allowed} accepts, or null.
   */
  ShapeQueue nextBlocked(boolean urgentWork, Predicate<ShapeQueue> allowed) {
    ShapeQueue best = null;
    for (ShapeQueue q : queuesByKey(urgentWork).values()) {
      boolean blocked = q.block != ShapeQueue.Block.NONE && !q.isEmpty();
      if (blocked && (best == null || q.precedes(best)) && allowed.test(q)) {
        best = q;
      }
    }
    return best;
  }

  /** Returns whether the first job of a blocked queue is boosted because of its deadline. */
  boolean hasBoosted(boolean urgentWork, Predicate<ShapeQueue> boosted) {
    for (ShapeQueue q : queuesByKey(urgentWork).values()) {
      if (q.block != ShapeQueue.Block.NONE && !q.isEmpty() && boosted.test(q)) {
        return true;
      }
    }
    return false;
  }

  void removeEmpty(boolean urgentWork) {
    queuesByKey(urgentWork).values().removeIf(ShapeQueue::isEmpty);
  }

  Iterable<ShapeQueue> queues(boolean urgentWork) {
    return queuesByKey(urgentWork).values();
  }

  boolean hasWork(boolean urgentWork) {
    // Empty queues have been removed.
    return !queuesByKey(urgentWork).isEmpty();
  }

  /** Returns the number of tasks that may start. */
  int tasks(boolean urgentWork) {
    int n = 0;
    for (ShapeQueue q : queuesByKey(urgentWork).values()) {
      for (JobState j : q.jobs()) {
        n += j.startableTasks.size();
      }
    }
    return n;
  }

  private Map<Key, ShapeQueue> queuesByKey(boolean urgentWork) {
    return urgentWork ? urgent : nonUrgent;
  }
}
