package dev.dandelionport.core.engine;

import dev.dandelionport.core.journal.WriteBudget;
import dev.dandelionport.core.ownership.Authority;
import java.util.function.LongSupplier;

/**
 * Dependencies that an instance shares with its partition hosts.
 *
 * @param engine ports and clocks of the engine
 * @param authority authority of the membership session under which the partition is owned
 * @param confirmationRemainingMillis returns how long the confirmation of the manifest remains
 *     valid, in milliseconds; start commands must arrive within this time. 0 if the manifest is not
 *     confirmed
 * @param budget limits the rate of the instance's store writes
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
