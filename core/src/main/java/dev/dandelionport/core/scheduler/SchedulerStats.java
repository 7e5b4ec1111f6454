package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Map;

/**
 * Figures about one partition.
 *
 * @param waitingTasks tasks that may start, per class
 * @param runningTasks open attempts of known jobs, per class
 * @param capacity what the workers in service offer
 * @param used what is committed on them
 * @param utilization largest fraction of any resource that is committed, from 0 to 1
 * @param teams figures per team
 * @param workersUsable workers that may get work
 * @param workersHeldBack workers that fail what they start
 * @param unrecordedAttempts reported attempts of unknown jobs
 * @param jobs jobs in memory, also final ones
 * @param starts attempts started
 * @param preemptions attempts told to end for other work, limits or drains
 * @param retries attempts that followed a failed or lost one
 * @param refusedJobs jobs that ended as not run
 * @param adoptedAttempts attempts taken over from a former owner's unrecorded starts
 * @param gangRestarts gangs started again as a whole
 * @param searches searches for a worker
 * @param failedSearches searches that found none
 * @param comparisons ranges of workers compared by all searches
 */
public record SchedulerStats(
    Map<WorkloadClass, Integer> waitingTasks,
    Map<WorkloadClass, Integer> runningTasks,
    ResourceVector capacity,
    ResourceVector used,
    double utilization,
    Map<TeamId, TeamStats> teams,
    int workersUsable,
    int workersHeldBack,
    int unrecordedAttempts,
    int jobs,
    long starts,
    long preemptions,
    long retries,
    long refusedJobs,
    long adoptedAttempts,
    long gangRestarts,
    long searches,
    long failedSearches,
    long comparisons) {

  /** Copies the maps. */
  public SchedulerStats {
    waitingTasks = SortedCopies.of(waitingTasks);
    runningTasks = SortedCopies.of(runningTasks);
    teams = SortedCopies.of(teams);
  }

  /**
   * Figures about one team.
   *
   * @param running attempts that may be running
   * @param maxRunning most attempts that may run in this partition
   * @param used what they take
   * @param dominantShare largest fraction of any resource that they take
   * @param deviation distance from the team's fair part, as a fraction; positive above it
   */
  public record TeamStats(
      int running, int maxRunning, ResourceVector used, double dominantShare, double deviation) {}
}
