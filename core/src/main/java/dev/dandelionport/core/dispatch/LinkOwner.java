package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.workflow.WorkflowScheduler;

/** Operations of the owner that a link uses. */
interface LinkOwner {
  WorkflowScheduler scheduler();

  /** Executes the scheduler's decisions and places waiting tasks. */
  void applyDecisions();

  /** Runs {@code action} once all records so far are durable. */
  void whenDurable(Runnable action);

  /** Returns whether the owner may still extend leases. */
  boolean mayExtendLeases();

  /**
   * Returns whether the owner may start runs. Its fencing token alone does not prevent a start
   * after another instance has become the owner: a runner that has restarted since then knows no
   * token.
   */
  boolean mayStart();

  /** Returns the limiter of first calls to runners. */
  CallLimiter firstCalls();

  /** Returns the limiter of start and stop orders to all runners. */
  CallLimiter orders();

  /** Called when the runner rejects the fencing token because it has received a newer one. */
  void onFenced();

  /** Returns whether the owner is closed and must no longer act. */
  boolean isClosed();
}
