package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** All jobs with a task that may start, by class, team and size. */
final class WaitingJobs {
  private final Map<TeamId, TeamQueue> teams = new TreeMap<>();
  private final Set<ShapeQueue> blocked = new LinkedHashSet<>();
  private final TreeSet<JobState> gangs =
      new TreeSet<>((a, b) -> Long.compare(a.priority, b.priority));
  private final Map<WorkloadClass, Integer> tasksByClass = new EnumMap<>(WorkloadClass.class);
  private final Map<TeamId, Integer> tasksByTeam = new HashMap<>();

  /** Total size of the startable tasks of each team, except urgent work and gangs. */
  private final Map<TeamId, ResourceVector> sizesByTeam = new HashMap<>();

  /** Makes a task startable. */
  void add(TaskState t) {
    if (t.startable) {
      return;
    }
    JobState j = t.job;
    t.startable = true;
    t.retryAtMillis = 0;
    j.startableTasks.add(t);
    addToCounts(j, 1);
    addToTeamSize(j, 1);
    if (j.queue == null) {
      ShapeQueue q = teams.computeIfAbsent(j.team(), TeamQueue::new).queueOf(j);
      q.add(j);
      if (q.head() == j) {
        unblock(q);
      }
    }
    j.queue.preemptionNeeded = true;
  }

  /** Removes a task that starts or no longer needs to start. */
  void remove(TaskState t) {
    if (!t.startable) {
      return;
    }
    JobState j = t.job;
    t.startable = false;
    j.startableTasks.remove(t);
    addToCounts(j, -1);
    addToTeamSize(j, -1);
    if (j.startableTasks.isEmpty() && j.queue != null) {
      ShapeQueue q = j.queue;
      q.remove(j);
      unblock(q);
      if (q.isEmpty()) {
        q.team.removeEmpty(j.workloadClass() == WorkloadClass.URGENT);
      }
    }
  }

  /** Adds a gang whose tasks may all start, at the end of the arrival order. */
  void addGang(JobState j, long position) {
    if (j.inGangQueue) {
      return;
    }
    j.inGangQueue = true;
    j.priority = position;
    gangs.add(j);
    addToCounts(j, j.unfinishedTasks());
  }

  void removeGang(JobState j) {
    if (j.inGangQueue) {
      j.inGangQueue = false;
      gangs.remove(j);
      addToCounts(j, -j.unfinishedTasks());
    }
  }

  /** Returns the waiting gangs in arrival order. */
  List<JobState> gangs() {
    return new ArrayList<>(gangs);
  }

  /** Returns the position in the arrival order of the gang that came last, or -1. */
  long lastGangPosition() {
    return gangs.isEmpty() ? -1 : gangs.last().priority;
  }

  private void addToCounts(JobState j, int n) {
    tasksByClass.merge(j.workloadClass(), n, Integer::sum);
    tasksByTeam.merge(j.team(), n, Integer::sum);
  }

  private void addToTeamSize(JobState j, int n) {
    if (j.workloadClass() != WorkloadClass.URGENT) {
      sizesByTeam.merge(j.team(), j.spec.taskSize().times(n), ResourceVector::plus);
    }
  }

  int waitingTasks(WorkloadClass c) {
    return tasksByClass.getOrDefault(c, 0);
  }

  /**
   * Returns the unblocked queue that goes next, of the accepted team with the lowest share, or null
   * if there is none. Queues that {@code boosted} accepts go first.
   */
  ShapeQueue next(
      boolean urgent,
      Predicate<TeamId> allowedTeam,
      ToDoubleFunction<TeamId> share,
      Predicate<ShapeQueue> boosted) {
    ShapeQueue best = null;
    double bestShare = 0;
    boolean bestBoosted = false;
    for (TeamQueue t : teams.values()) {
      ShapeQueue q = t.next(urgent);
      if (q != null && allowedTeam.test(t.id)) {
        double teamShare = share.applyAsDouble(t.id);
        boolean isBoosted = boosted.test(q);
        if (best == null || (isBoosted == bestBoosted ? teamShare < bestShare : isBoosted)) {
          best = q;
          bestShare = teamShare;
          bestBoosted = isBoosted;
        }
      }
    }
    return best;
  }

  void block(ShapeQueue q, ShapeQueue.Block reason) {
    q.block = reason;
    blocked.add(q);
  }

  void unblock(ShapeQueue q) {
    if (q.block != ShapeQueue.Block.NONE) {
      q.block = ShapeQueue.Block.NONE;
      blocked.remove(q);
    }
  }

  /**
   * Returns the blocked queue that goes next among those that {@code allowedQueue} accepts: of the
   * team with the lowest share, and within it by class and priority. Queues that {@code boosted}
   * accepts go first. Returns null if there is none.
   */
  ShapeQueue nextBlocked(
      boolean urgent,
      Predicate<TeamId> allowedTeam,
      ToDoubleFunction<TeamId> share,
      Predicate<ShapeQueue> allowedQueue,
      Predicate<ShapeQueue> boosted) {
    ShapeQueue best = null;
    double bestShare = 0;
    boolean bestBoosted = false;
    for (TeamQueue t : teams.values()) {
      if (!t.hasWork(urgent) || !allowedTeam.test(t.id)) {
        continue;
      }
      double teamShare = share.applyAsDouble(t.id);
      boolean lower = best == null || teamShare < bestShare;
      if (bestBoosted ? lower : lower || t.hasBoosted(urgent, boosted)) {
        ShapeQueue q = t.nextBlocked(urgent, allowedQueue);
        boolean isBoosted = q != null && boosted.test(q);
        if (q != null
            && (best == null || (isBoosted == bestBoosted ? teamShare < bestShare : isBoosted))) {
          best = q;
          bestShare = teamShare;
          bestBoosted = isBoosted;
        }
      }
    }
    return best;
  }

  boolean hasBlocked() {
    return !blocked.isEmpty();
  }

  void unblockAll() {
    new ArrayList<>(blocked).forEach(this::unblock);
  }

  Iterable<TeamQueue> teams() {
    return teams.values();
  }

  /** Returns the number of a team's tasks that may start. */
  int waitingTasksOf(TeamId id) {
    return tasksByTeam.getOrDefault(id, 0);
  }

  /**
   * Returns the total size of the tasks that each team waits for, except urgent work and gangs that
   * start together.
   */
  Map<TeamId, ResourceVector> waitingSizes() {
    Map<TeamId, ResourceVector> sizes = new TreeMap<>();
    for (TeamQueue t : teams.values()) {
      if (t.hasWork(false)) {
        sizes.put(t.id, sizesByTeam.get(t.id));
      }
    }
    return sizes;
  }
}
