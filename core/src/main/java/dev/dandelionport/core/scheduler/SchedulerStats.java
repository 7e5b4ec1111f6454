package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Map;

/**
 * Statistics of one partition.
 *
 * @param waitingTasks tasks that may start, per class
 * @param runningTasks open attempts of known jobs, per class
 * @param capacity resources of the workers in service
 * @param used resources committed on them
 * @param utilization largest fraction of any resource that is committed, from 0 to 1
 * @param teams statistics per team
 * @param workersUsable workers that may get work
 * @param workersHeldBack workers that get no work because they fail what they start
 * @param unrecordedAttempts reported attempts of unknown jobs
 * @param jobs jobs in memory, including finished ones
 * @param starts attempts started
 * @param preemptions attempts stopped for other work, limits or drains
 * @param retries attempts that followed a failed or lost one
 * @param refusedJobs jobs that ended as not run
 * @param adoptedAttempts attempts of a former owner that were missing from the journal and were
 *     adopted
 * @param gangRestarts gangs whose unfinished tasks were all restarted
 * @param searches searches for a worker
 * @param failedSearches searches that found no worker
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
   * Statistics of one team.
   *
   * @param running attempts that may be running
   * @param maxRunning maximum number of attempts that may run in this partition
   * @param used resources that the attempts use
   * @param dominantShare largest fraction of any resource that the attempts use
   * @param deviation difference from the fair share of the team, as a fraction; positive above it
   */
  public record TeamStats(
      int running, int maxRunning, ResourceVector used, double dominantShare, double deviation) {}
}
