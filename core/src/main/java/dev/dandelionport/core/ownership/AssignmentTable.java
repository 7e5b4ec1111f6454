package dev.dandelionport.core.ownership;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The members of the cell and the owner of each partition. The stored table is changed only by
 * compare-and-swap.
 *
 * @param version increases by one with each change
 * @param members members by id
 * @param owners owner and epoch by partition; a partition that was never owned has no entry
 */
public record AssignmentTable(
    long version, Map<String, InstanceInfo> members, Map<String, PartitionOwner> owners) {

  /** The table of a cell that has not been started yet. */
  public static final AssignmentTable EMPTY = new AssignmentTable(0, Map.of(), Map.of());

  /** Copies the maps. */
  public AssignmentTable {
    members = SortedCopies.of(members);
    owners = SortedCopies.of(owners);
  }

  /** Returns the owner of a partition, or empty if it was never owned. */
  public Optional<PartitionOwner> owner(PartitionId p) {
    return Optional.ofNullable(owners.get(p.toString()));
  }

  /** Returns the member with this id, or empty if it is not a member. */
  public Optional<InstanceInfo> member(InstanceId id) {
    return Optional.ofNullable(members.get(id.value()));
  }

  /** Returns the next version of the table with {@code member} added or replaced. */
  public AssignmentTable withMember(InstanceInfo member) {
    Map<String, InstanceInfo> newMembers = new TreeMap<>(members);
    newMembers.put(member.id().value(), member);
    return new AssignmentTable(version + 1, newMembers, owners);
  }

  /** Returns the next version of the table with these members and owners. */
  public AssignmentTable withMembersAndOwners(
      Map<String, InstanceInfo> newMembers, Map<String, PartitionOwner> newOwners) {
    return new AssignmentTable(version + 1, newMembers, newOwners);
  }
}
