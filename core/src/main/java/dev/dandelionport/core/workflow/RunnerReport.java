package dev.dandelionport.core.workflow;

import java.util.List;

/**
 * Report of a runner on its runs.
 *
 * @param incarnation start of this incarnation of the runner, milliseconds since 1970; 0 if not
 *     stated
 * @param clockMillis the runner's clock when it sent the report
 * @param running runs that hold a lease
 * @param ends ended runs that were not acknowledged yet, by ascending number
 * @param endsComplete whether {@code ends} certainly contains all of them; a runner lists further
 *     ones only after these are acknowledged
 */
public record RunnerReport(
    long incarnation,
    long clockMillis,
    List<Running> running,
    List<End> ends,
    boolean endsComplete) {

  /** Copies the lists. */
  public RunnerReport {
    running = List.copyOf(running);
    ends = List.copyOf(ends);
  }

  /**
   * A run that holds a lease on the runner.
   *
   * @param task its task
   * @param run number of the run
   * @param checkpoint latest checkpoint, empty for none
   * @param cpuSharePercent processor share at which it may run, in percent
   * @param recentMeasurement latest latency of a serving task in milliseconds, or processor use of
   *     any other task in thousandths of a core; -1 if not stated
   */
  public record Running(
      TaskKey task, int run, String checkpoint, int cpuSharePercent, long recentMeasurement) {}

  /** A run that ended; {@code number} counts the ends within one incarnation of the runner. */
  public record End(long number, TaskKey task, int run, RunEnd outcome, String checkpoint) {}
}
