package dev.dandelionport.core.dispatch;

/**
 * What an owner knows of its ownership at one moment.
 *
 * @param leaseValid whether the lease of its key cannot have expired
 * @param renewalsFail whether the store does not renew the lease
 * @param claimRequested whether another instance was asked to claim, and the lease has not been
 *     renewed since that claim must have been made
 * @param confirmedAgeMillis time since the latest confirmation of the lease was requested, by the
 *     clock that has advanced more
 */
record Ownership(
    boolean leaseValid, boolean renewalsFail, boolean claimRequested, long confirmedAgeMillis) {

  /** Returns whether no other instance can have become the owner. */
  boolean isCertain() {
    return isRenewed() && !claimRequested;
  }

  /** Returns whether the lease is valid and the store renews it. */
  boolean isRenewed() {
    return leaseValid && !renewalsFail;
  }
}
