package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.ownership.AssignmentTable;
import java.util.Optional;
import java.util.Set;

/**
 * An instance's current view of the shared control state.
 *
 * @param manifest newest known manifest, if there is one
 * @param table newest assignment table
 * @param tableRevision store revision of the table
 * @param live members with a valid lease in the store
 */
public record ControlState(
    Optional<Manifest> manifest, AssignmentTable table, long tableRevision, Set<InstanceId> live) {

  /** The state before anything was read. */
  public static final ControlState EMPTY =
      new ControlState(Optional.empty(), AssignmentTable.EMPTY, 0, Set.of());

  /** Copies the set of members into an immutable one. */
  public ControlState {
    live = SortedCopies.of(live);
  }

  /** Returns the state with a newer manifest. */
  ControlState withManifest(Manifest m) {
    return new ControlState(Optional.of(m), table, tableRevision, live);
  }

  /** Returns the state with another table. */
  ControlState withTable(AssignmentTable t, long revision) {
    return new ControlState(manifest, t, revision, live);
  }

  /** Returns the version of the manifest, 0 if none is known. */
  long manifestVersion() {
    return manifest.map(Manifest::version).orElse(0L);
  }
}
