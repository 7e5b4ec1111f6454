package dev.dandelionport.core.engine;

import dev.dandelionport.core.journal.WriteBudget;
import dev.dandelionport.core.ownership.Authority;
import java.util.function.LongSupplier;

/**
 * What the instance lends to its partition hosts.
 *
 * @param engine ports and clocks
 * @param authority authority of the membership session under which the partition is owned
 * @param confirmationRemainingMillis returns how long starts may still arrive under the confirmed
 *     manifest, in milliseconds; 0 if it is not confirmed
 * @param budget bounds the instance's store writes
 */
record HostContext(
    EngineContext engine,
    Authority authority,
    LongSupplier confirmationRemainingMillis,
    WriteBudget budget) {

  /** Returns whether new work may be accepted and started now. */
  boolean mayServe() {
    return authority.isHeld() && confirmationRemainingMillis.getAsLong() > 0;
  }

  void observe(EngineEvent e) {
    engine.observer().accept(e);
  }
}
