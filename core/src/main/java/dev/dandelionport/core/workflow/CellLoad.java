package dev.dandelionport.core.workflow;

import java.util.Map;
import java.util.TreeMap;

/**
 * What waits and runs, and the state of the runners.
 *
 * @param waitingSteps steps of which tasks wait, by queue
 * @param waitingTasks their waiting tasks
 * @param runs runs that may be under way, by queue
 * @param runners states of the runners
 * @param coresUsedPercent part of the listed runners' processor time that runs have reserved
 * @param passes what the passes since the last such figures looked at
 */
public record CellLoad(
    Map<String, Integer> waitingSteps,
    int waitingTasks,
    Map<String, Integer> runs,
    RunnerCounts runners,
    int coresUsedPercent,
    PassCounts passes) {

  /**
   * How many runners are in a state; a runner may be in several.
   *
   * @param listed in the directory
   * @param confirmed the present life has answered this owner
   * @param unreachable calls to it fail
   * @param quarantined held back because of what it did to its runs
   * @param draining asked to leave
   * @param unlisted not in the directory any more, but runs may be under way there
   */
  public record RunnerCounts(
      int listed, int confirmed, int unreachable, int quarantined, int draining, int unlisted) {}

  static CellLoad of(CellState cell, PassCounts passes) {
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
        capacity += r.description.capacity().milliCores();
      }
    }
    int percent = (int) (100 * used / Math.max(1, capacity));
    return new CellLoad(steps, tasks, runs, count(cell), percent, passes);
  }

  private static RunnerCounts count(CellState cell) {
    int listed = 0;
    int confirmed = 0;
    int unreachable = 0;
    int quarantined = 0;
    int draining = 0;
    int unlisted = 0;
    for (Runner r : cell.runners.values()) {
      if (!r.listed) {
        unlisted++;
        continue;
      }
      listed++;
      confirmed += r.ownerConfirmed ? 1 : 0;
      unreachable += r.unreachable ? 1 : 0;
      quarantined += r.health.isQuarantined() ? 1 : 0;
      draining += r.description.draining() ? 1 : 0;
    }
    return new RunnerCounts(listed, confirmed, unreachable, quarantined, draining, unlisted);
  }
}
