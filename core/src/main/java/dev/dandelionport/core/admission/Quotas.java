package dev.dandelionport.core.admission;

import dev.dandelionport.core.common.ResourceVector;

/** Maximum resources of the runs of each account. */
@FunctionalInterface
public interface Quotas {
  /** Returns the quota of an account; 0 in a component means no limit. */
  ResourceVector of(String account);
}
