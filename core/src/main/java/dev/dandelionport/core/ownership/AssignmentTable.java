package dev.dandelionport.core.ownership;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Which instances are members of the cell and which partition each one owns. Changed only by
 * compare-and-swap on the store.
 *
 * @param version grows by one with each change
 * @param members members by id
 * @param owners owner and epoch by partition; absent if a partition was never owned
 */
public record AssignmentTable(
    long version, Map<String, InstanceInfo> members, Map<String, PartitionOwner> owners) {

  /** The table of a cell that was never started. */
  public static final AssignmentTable EMPTY = new AssignmentTable(0, Map.of(), Map.of());

  /** Copies the maps. */
  public AssignmentTable {
    members = SortedCopies.of(members);
    owners = SortedCopies.of(owners);
  }

  /** Returns the owner of a partition. */
  public Optional<PartitionOwner> owner(PartitionId p) {
    return Optional.ofNullable(owners.get(p.toString()));
  }

  /** Returns a member. */
  public Optional<InstanceInfo> member(InstanceId id) {
    return Optional.ofNullable(members.get(id.value()));
  }

  /** Returns the next version of the table with {@code m} as a member. */
  public AssignmentTable withMember(InstanceInfo member) {
    Map<String, InstanceInfo> newMembers = new TreeMap<>(members);
    newMembers.put(member.id().value(), member);
    return new AssignmentTable(version + 1, newMembers, owners);
  }

  /** Returns the next version of the table with other owners and without some members. */
  public AssignmentTable withMembersAndOwners(
      Map<String, InstanceInfo> newMembers, Map<String, PartitionOwner> newOwners) {
    return new AssignmentTable(version + 1, newMembers, newOwners);
  }
}
