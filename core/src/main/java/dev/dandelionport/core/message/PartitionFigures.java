package dev.dandelionport.core.message;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.scheduler.PartitionScheduler;
import dev.dandelionport.core.scheduler.SchedulerStats;
import java.util.Map;
import java.util.TreeMap;

/**
 * What operators are told about one partition.
 *
 * @param waitingTasks tasks that may start
 * @param runningTasks attempts that may be running
 * @param workersUsable workers that may get work
 * @param workersHeldBack workers that fail what they start
 * @param teams figures of teams, by team
 * @param runningByDomain attempts that may be running, by failure domain
 * @param capacity what the workers in service offer
 */
public record PartitionFigures(
    int waitingTasks,
    int runningTasks,
    int workersUsable,
    int workersHeldBack,
    Map<String, TeamFigures> teams,
    Map<String, Integer> runningByDomain,
    ResourceVector capacity) {

  /**
   * Figures of a team in one partition.
   *
   * @param running attempts that may be running
   * @param dominantShare largest fraction of any resource that they take
   * @param deviation distance from the team's fair part, as a fraction; positive above it
   */
  public record TeamFigures(int running, double dominantShare, double deviation) {}

  /** Copies the maps; an instance of an earlier version sends no capacity. */
  public PartitionFigures {
    teams = SortedCopies.of(teams);
    runningByDomain = SortedCopies.of(runningByDomain);
    capacity = capacity == null ? ResourceVector.ZERO : capacity;
  }

  /** Reads the figures of a scheduler. */
  public static PartitionFigures of(PartitionScheduler scheduler) {
    SchedulerStats stats = scheduler.stats();
    Map<String, TeamFigures> teams = new TreeMap<>();
    stats
        .teams()
        .forEach(
            (id, t) ->
                teams.put(
                    id.value(), new TeamFigures(t.running(), t.dominantShare(), t.deviation())));
    return new PartitionFigures(
        stats.waitingTasks().values().stream().mapToInt(n -> n).sum(),
        stats.runningTasks().values().stream().mapToInt(n -> n).sum(),
        stats.workersUsable(),
        stats.workersHeldBack(),
        teams,
        scheduler.runningByDomain(),
        stats.capacity());
  }
}
