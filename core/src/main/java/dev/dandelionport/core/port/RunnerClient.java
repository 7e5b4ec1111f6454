package dev.dandelionport.core.port;

import dev.dandelionport.core.workflow.RunnerReport;
import dev.dandelionport.core.workflow.StartOrder;
import dev.dandelionport.core.workflow.StartResult;
import dev.dandelionport.core.workflow.TaskKey;
import java.util.concurrent.CompletableFuture;

/**
 * Sends orders to runners. Futures fail with {@link WorkerException} if a runner does not answer;
 * the order may still be executed later. Each order carries a fencing token; a runner refuses
 * tokens below the highest one that it has received.
 */
public interface RunnerClient {

  /** Denotes an unspecified time. */
  long NO_TIME = Long.MIN_VALUE;

  /** A runner's name and the host and port of its interface. */
  record Address(String runner, String hostPort) {}

  /**
   * Answer to a start order.
   *
   * @param clockMillis time of the runner's clock, or {@link #NO_TIME}
   */
  record StartAnswer(StartResult result, long clockMillis) {}

  /**
   * Answer to a hold call; {@code fenced} if the runner refused the token, and then the report is
   * null.
   */
  record HoldAnswer(boolean fenced, RunnerReport report) {}

  /**
   * Starts a run.
   *
   * @param untilMillis time on the runner's clock until which the leases of all runs on it are
   *     valid
   */
  CompletableFuture<StartAnswer> start(
      Address to, StartOrder order, long untilMillis, long token, long timeoutMillis);

  /**
   * Stops a run, or prevents it from starting if it has not; completes with false if the token was
   * refused.
   */
  CompletableFuture<Boolean> stop(
      Address to, TaskKey task, int run, long token, long timeoutMillis);

  /**
   * Extends the leases of the runs on a runner, acknowledges finished runs and returns the runner's
   * report.
   *
   * @param ackedEnd number of the last finished run that the runner need not report again
   * @param untilMillis time on the runner's clock until which the leases are valid, or {@link
   *     #NO_TIME}
   * @param waitMillis maximum time that the runner may wait for a run to finish before it answers
   */
  CompletableFuture<HoldAnswer> hold(
      Address to, long token, long ackedEnd, long untilMillis, long waitMillis, long timeoutMillis);
}
