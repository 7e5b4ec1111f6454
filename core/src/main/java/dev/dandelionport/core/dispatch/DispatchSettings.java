package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.workflow.WorkflowLimits;

/**
 * Deployment settings of an instance; times are in milliseconds.
 *
 * @param ownerLeaseMillis time to live of the owner's lease in the store
 * @param runnerLeaseMillis time by which a hold call extends the leases of all tasks on a runner
 * @param maxRunnerLeaseMillis longest time on its clock for which a runner extends a lease at once,
 *     whatever time it is given
 * @param policyMaxAgeMillis longest time for which a configuration counts as current without
 *     confirmation from the store
 * @param limits time limits of the scheduler
 * @param ownerCapacity capacity of the machine for the owner's work, in thousandths of a core
 */
public record DispatchSettings(
    long ownerLeaseMillis,
    long runnerLeaseMillis,
    long maxRunnerLeaseMillis,
    long policyMaxAgeMillis,
    WorkflowLimits limits,
    long ownerCapacity) {

  /** Time without contact to the store after which an owner stops extending runner leases. */
  public static final long EXTEND_WITHOUT_STORE_MILLIS = 4_000;

  /** Allowance for calls in flight, in milliseconds. */
  private static final long CALL_MARGIN_MILLIS = 250;

  /**
   * Returns the time after which a runner lease granted now has expired even on the slowest allowed
   * clock.
   */
  long maxLeaseMillis() {
    return maxDurationMillis(runnerLeaseMillis);
  }

  /**
   * Returns the time after which a lease has expired that a runner grants now for {@code
   * leaseMillis} on its clock.
   */
  static long maxDurationMillis(long leaseMillis) {
    return (long) (leaseMillis / RunnerClock.MIN_RATE) + CALL_MARGIN_MILLIS;
  }
}
