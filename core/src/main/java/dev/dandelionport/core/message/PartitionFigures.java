package dev.dandelionport.core.message;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.scheduler.PartitionScheduler;
import dev.dandelionport.core.scheduler.SchedulerStats;
import java.util.Map;
import java.util.TreeMap;

/**
 * Statistics of one partition, shown to operators.
 *
 * @param waitingTasks tasks that are ready to start and wait for a worker
 * @param runningTasks attempts that may be running
 * @param workersUsable workers on which tasks may start
 * @param workersHeldBack workers that get no new tasks because their attempts fail
 * @param teams statistics by team id
 * @param runningByDomain attempts that may be running, by failure domain
 * @param capacity total resources of the workers in service
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
   * Statistics of a team in one partition.
   *
   * @param running attempts that may be running
   * @param dominantShare largest fraction of any resource that these attempts use
   * @param deviation difference from the team's fair share, as a fraction; positive above the share
   */
  public record TeamFigures(int running, double dominantShare, double deviation) {}

  /** Copies the maps; instances of earlier versions send no capacity, which is read as zero. */
  public PartitionFigures {
    teams = SortedCopies.of(teams);
    runningByDomain = SortedCopies.of(runningByDomain);
    capacity = capacity == null ? ResourceVector.ZERO : capacity;
  }

  /** Returns the statistics of a scheduler. */
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
