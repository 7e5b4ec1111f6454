package dev.dandelionport.core.port;

import dev.dandelionport.core.workflow.RunnerReport;
import dev.dandelionport.core.workflow.StartOrder;
import dev.dandelionport.core.workflow.StartResult;
import dev.dandelionport.core.workflow.TaskKey;
import java.util.concurrent.CompletableFuture;

/**
 * Gives orders to runners. Futures fail with {@link WorkerException} when no answer came; the order
 * may then be carried out later. Each order carries a fencing token; a runner refuses tokens below
 * the highest that it has seen.
 */
public interface RunnerClient {

  /** No time is stated. */
  long NO_TIME = Long.MIN_VALUE;

  /** A runner's name and the host and port of its interface. */
  record Address(String runner, String hostPort) {}

  /**
   * The answer to a start.
   *
   * @param clockMillis the runner's clock, or {@link #NO_TIME}
   */
  record StartAnswer(StartResult result, long clockMillis) {}

  /** The answer to a hold; the report is null if the runner refused the token. */
  record HoldAnswer(boolean fenced, RunnerReport report) {}

  /**
   * Starts a run.
   *
   * @param untilMillis time on the runner's clock until which everything on it holds its lease
   */
  CompletableFuture<StartAnswer> start(
      Address to, StartOrder order, long untilMillis, long token, long timeoutMillis);

  /** Stops a run and keeps it from starting; completes with false if the token was refused. */
  CompletableFuture<Boolean> stop(
      Address to, TaskKey task, int run, long token, long timeoutMillis);

  /**
   * Extends the leases on a runner, acknowledges ends and returns what there is.
   *
   * @param ackedEnd number of the last end that needs no mention any more
   * @param untilMillis time on the runner's clock until which leases hold, or {@link #NO_TIME}
   * @param waitMillis how long the answer may wait for an end
   */
  CompletableFuture<HoldAnswer> hold(
      Address to, long token, long ackedEnd, long untilMillis, long waitMillis, long timeoutMillis);
}
