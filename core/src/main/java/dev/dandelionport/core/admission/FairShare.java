package dev.dandelionport.core.admission;

/** Tells which accounts are over their fair share of the cluster. */
@FunctionalInterface
public interface FairShare {
  /** Returns whether the next submission of an account would rank behind the work of others. */
  boolean isExceededBy(String account);
}
