package dev.dandelionport.core.dispatch;

/**
 * What an owner knows of its ownership at one moment.
 *
 * @param leaseValid whether the lease of its key cannot have expired
 * @param renewalsFail whether the store does not renew the lease, so that another instance may have
 *     been asked to claim
 */
record Ownership(boolean leaseValid, boolean renewalsFail) {

  /** Returns whether no other instance can have become the owner. */
  boolean isCertain() {
    return leaseValid && !renewalsFail;
  }
}
