package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.ownership.Member;
import dev.dandelionport.core.permit.PermitTable;
import dev.dandelionport.core.port.StoreEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Decodes the values below the control prefix and lists those that cannot be decoded. */
final class ControlStateDecoder {

  /** A permit table and its store revision. */
  record PermitEntry(PermitTable table, long revision) {}

  /**
   * The control state from one read of the store.
   *
   * @param manifest the manifest in the store
   * @param manifestRevision its revision, 0 if there is none
   * @param table the assignment table
   * @param tableRevision its revision, 0 if there is none
   * @param liveSessions session (lease id) of each registered member
   * @param permits permit tables by region
   * @param undecodable keys and revisions of values that cannot be decoded
   */
  record DecodedState(
      Optional<Manifest> manifest,
      long manifestRevision,
      AssignmentTable table,
      long tableRevision,
      Map<InstanceId, Long> liveSessions,
      Map<String, PermitEntry> permits,
      List<String> undecodable) {

    /** Returns whether every value below {@code prefix} was decoded; true if there is none. */
    boolean isReadable(String prefix) {
      return undecodable.stream().noneMatch(b -> b.startsWith(prefix));
    }
  }

  private ControlStateDecoder() {}

  static DecodedState decode(List<StoreEntry> entries) {
    Optional<Manifest> manifest = Optional.empty();
    long manifestRevision = 0;
    AssignmentTable table = AssignmentTable.EMPTY;
    long tableRevision = 0;
    Map<InstanceId, Long> liveSessions = new HashMap<>();
    Map<String, PermitEntry> permits = new HashMap<>();
    List<String> undecodable = new ArrayList<>();
    for (StoreEntry entry : entries) {
      try {
        if (entry.key().equals(ControlKeys.MANIFEST)) {
          manifestRevision = entry.revision();
          manifest = Optional.of(JsonCodec.decode(entry.value(), Manifest.class));
        } else if (entry.key().equals(ControlKeys.ASSIGNMENT)) {
          tableRevision = entry.revision();
          table = JsonCodec.decode(entry.value(), AssignmentTable.class);
        } else if (entry.key().startsWith(ControlKeys.MEMBERS)) {
          Member m = JsonCodec.decode(entry.value(), Member.class);
          liveSessions.put(m.info().id(), m.session());
        } else if (entry.key().startsWith(ControlKeys.PERMITS)) {
          PermitTable t = JsonCodec.decode(entry.value(), PermitTable.class);
          permits.put(
              entry.key().substring(ControlKeys.PERMITS.length()),
              new PermitEntry(t, entry.revision()));
        }
      } catch (IllegalArgumentException | NullPointerException e) {
        undecodable.add(entry.key() + " at revision " + entry.revision());
      }
    }
    return new DecodedState(
        manifest, manifestRevision, table, tableRevision, liveSessions, permits, undecodable);
  }
}
