package dev.dandelionport.core.workflow;

import java.util.List;

/**
 * What a runner says about the runs on it.
 *
 * @param incarnation start of this life of the runner, milliseconds since 1970; 0 if not stated
 * @param clockMillis the runner's clock when it answered
 * @param running runs that hold a lease
 * @param ends ended runs that were not acknowledged, by ascending number
 */
public record RunnerReport(
    long incarnation, long clockMillis, List<Running> running, List<End> ends) {

  /** Copies the lists. */
  public RunnerReport {
    running = List.copyOf(running);
    ends = List.copyOf(ends);
  }

  /**
   * A run that is present.
   *
   * @param task its task
   * @param run number of the run
   * @param checkpoint newest checkpoint, empty for none
   * @param cpuSharePercent share of its speed at which it may work
   * @param recentMeasurement latency of a serving task in milliseconds, else thousandths of a core
   *     in use; -1 if not stated
   */
  public record Running(
      TaskKey task, int run, String checkpoint, int cpuSharePercent, long recentMeasurement) {}

  /** A run that ended, with the number of its end in this life of the runner. */
  public record End(long number, TaskKey task, int run, RunEnd outcome, String checkpoint) {}
}
