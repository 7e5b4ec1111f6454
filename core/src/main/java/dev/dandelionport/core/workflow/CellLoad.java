package dev.dandelionport.core.workflow;

import java.util.Map;
import java.util.TreeMap;

/**
 * Waiting steps and runs of a cell, and the state of its runners.
 *
 * @param waitingSteps number of steps with waiting tasks, by queue
 * @param waitingTasks number of waiting tasks
 * @param runs number of runs that may be active, by queue
 * @param runners number of runners by state
 * @param coresUsedPercent percentage of the listed runners' processor capacity that runs have
 *     reserved
 * @param accountsOverShare number of accounts that are over their fair share
 * @param passes counts of the placement passes since the previous load figures
 * @param locality local and remote placements since the previous load figures
 * @param refused submissions refused by admission since the previous load figures
 * @param returning refused submissions that are expected to return
 */
public record CellLoad(
    Map<String, Integer> waitingSteps,
    int waitingTasks,
    Map<String, Integer> runs,
    RunnerCounts runners,
    int coresUsedPercent,
    int accountsOverShare,
    PassCounts passes,
    LocalityCounts locality,
    int refused,
    int returning) {

  /**
   * Number of runners in each state; a runner may be in several.
   *
   * @param listed in the directory; only these count in the next four
   * @param confirmed the current incarnation has reported to this owner
   * @param unresponsive calls to it fail
   * @param quarantined quarantined because of failed or stuck runs
   * @param draining asked to drain, so they get no new runs
   * @param undescribed have answered, but the directory lists another incarnation
   * @param unlisted no longer in the directory, but runs may still be active there
   */
  public record RunnerCounts(
      int listed,
      int confirmed,
      int unresponsive,
      int quarantined,
      int draining,
      int undescribed,
      int unlisted) {}

  static CellLoad of(
      CellState cell, PassCounts passes, LocalityCounts locality, int refused, int returning) {
    Map<String, Integer> steps = new TreeMap<>();
    int tasks = 0;
    for (Step s : cell.ready) {
      int waiting = s.countWaiting();
      if (waiting > 0) {
        tasks += waiting;
        steps.merge(s.workflow.spec.queue(), 1, Integer::sum);
      }
    }
    Map<String, Integer> runs = new TreeMap<>();
    long used = 0;
    long capacity = 0;
    for (Runner r : cell.runners.values()) {
      for (Run x : r.runs) {
        runs.merge(x.task.step.workflow.spec.queue(), 1, Integer::sum);
      }
      if (r.listed) {
        used += r.used.milliCores();
        capacity += r.described().description.capacity().milliCores();
      }
    }
    int percent = (int) (100 * used / Math.max(1, capacity));
    return new CellLoad(
        steps,
        tasks,
        runs,
        count(cell),
        percent,
        cell.shares.countOver(),
        passes,
        locality,
        refused,
        returning);
  }

  private static RunnerCounts count(CellState cell) {
    int listed = 0;
    int confirmed = 0;
    int unresponsive = 0;
    int quarantined = 0;
    int draining = 0;
    int undescribed = 0;
    int unlisted = 0;
    for (Runner r : cell.runners.values()) {
      if (!r.listed) {
        unlisted++;
        continue;
      }
      listed++;
      confirmed += r.ownerConfirmed ? 1 : 0;
      unresponsive += r.unresponsive ? 1 : 0;
      quarantined += r.health().isQuarantined() ? 1 : 0;
      draining += r.described().description.draining() ? 1 : 0;
      undescribed += r.ownerConfirmed && !r.isDescribed() ? 1 : 0;
    }
    return new RunnerCounts(
        listed, confirmed, unresponsive, quarantined, draining, undescribed, unlisted);
  }
}
