package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.workflow.WorkflowLimits;

/**
 * What the deployment sets: times in milliseconds, and what the machine can do.
 *
 * @param ownerLeaseMillis life of the owner's lease in the store
 * @param runnerLeaseMillis time for which a hold lets everything on a runner run on
 * @param policyMaxAgeMillis longest time for which a configuration counts as current without the
 *     store
 * @param limits times that the scheduler needs
 * @param ownerCapacity how much work the machine can do as the owner, in thousandths of a core
 */
public record DispatchSettings(
    long ownerLeaseMillis,
    long runnerLeaseMillis,
    long policyMaxAgeMillis,
    WorkflowLimits limits,
    long ownerCapacity) {

  /** Time after which an owner that cannot reach the store no longer extends leases. */
  public static final long EXTEND_WITHOUT_STORE_MILLIS = 4_000;

  /** How much slower than ours a runner's clock may be. */
  private static final double MIN_CLOCK_RATE = 0.98;

  /** Time for calls under way, in milliseconds. */
  private static final long CALL_MARGIN_MILLIS = 250;

  /** Returns the time from now after which a hold granted now has certainly ended. */
  long maxLeaseMillis() {
    return (long) (runnerLeaseMillis / MIN_CLOCK_RATE) + CALL_MARGIN_MILLIS;
  }
}
