package dev.dandelionport.standin.worker;

/**
 * One run of a task, as recorded by its worker.
 *
 * @param job job and task, without the attempt number
 * @param attempt attempt id
 * @param worker worker that ran it
 * @param failureDomain failure domain of the worker
 * @param startedMillis when it started
 * @param endedMillis when it ended, 0 while it runs
 * @param outcome how it ended, empty while it runs
 */
public record RunRecord(
    String job,
    String attempt,
    String worker,
    String failureDomain,
    long startedMillis,
    long endedMillis,
    String outcome) {

  /** Returns the record of an attempt that starts at {@code nowMillis}. */
  static RunRecord start(String attempt, String worker, String failureDomain, long nowMillis) {
    String job = attempt.substring(0, attempt.lastIndexOf('.'));
    return new RunRecord(job, attempt, worker, failureDomain, nowMillis, 0, "");
  }

  /** Returns a copy of this record with the end time and the outcome. */
  RunRecord end(long nowMillis, String finalOutcome) {
    return new RunRecord(
        job, attempt, worker, failureDomain, startedMillis, nowMillis, finalOutcome);
  }

  /** Returns the team, which is the first part of the attempt id. */
  String team() {
    return attempt.substring(0, attempt.indexOf('/'));
  }
}
