package dev.dandelionport.core.ownership;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Computes which member should own each partition. The result depends only on the arguments. */
public final class AssignmentPlanner {

  private AssignmentPlanner() {}

  /**
   * Returns the planned owner of each partition. In each region every live member owns the floor or
   * the ceiling of partitions / members. A partition keeps its live owner unless that owner has
   * more than its quota, so that as few partitions move as balance allows. Partitions of a region
   * without live members are omitted. Planning again after a plan was applied returns the same
   * plan.
   *
   * @param table current table
   * @param liveSessions session ids of the members whose lease is valid, by member
   * @param partitions all partitions of the cell
   */
  public static Map<PartitionId, InstanceId> plan(
      AssignmentTable table, Map<InstanceId, Long> liveSessions, List<PartitionId> partitions) {
    Map<PartitionId, InstanceId> plan = new TreeMap<>();
    partitions.stream()
        .map(PartitionId::region)
        .distinct()
        .forEach(r -> planRegion(r, table, liveSessions, partitions, plan));
    return plan;
  }

  /** Returns the owner of a partition if it is a member and its session is still valid. */
  public static Optional<InstanceId> liveOwner(
      AssignmentTable table, Map<InstanceId, Long> liveSessions, PartitionId p) {
    return table
        .owner(p)
        .filter(o -> table.member(o.owner()).isPresent())
        .filter(o -> liveSessions.getOrDefault(o.owner(), 0L) == o.session())
        .map(PartitionOwner::owner);
  }

  private static void planRegion(
      String region,
      AssignmentTable table,
      Map<InstanceId, Long> liveSessions,
      List<PartitionId> allPartitions,
      Map<PartitionId, InstanceId> plan) {
    List<PartitionId> partitions =
        allPartitions.stream().filter(p -> p.region().equals(region)).sorted().toList();
    Map<InstanceId, List<PartitionId>> owned = new TreeMap<>();
    table.members().values().stream()
        .filter(m -> m.region().equals(region) && liveSessions.containsKey(m.id()))
        .map(InstanceInfo::id)
        .forEach(i -> owned.put(i, new ArrayList<>()));
    if (owned.isEmpty()) {
      return;
    }
    List<PartitionId> unassigned = new ArrayList<>();
    for (PartitionId p : partitions) {
      Optional<InstanceId> o = liveOwner(table, liveSessions, p).filter(owned::containsKey);
      o.map(owned::get).orElse(unassigned).add(p);
    }
    Map<InstanceId, Integer> quotas = quotasByMember(owned, partitions.size());
    owned.forEach(
        (i, list) -> {
          while (list.size() > quotas.get(i)) {
            unassigned.add(list.remove(list.size() - 1));
          }
        });
    owned.forEach(
        (i, list) -> {
          while (list.size() < quotas.get(i)) {
            list.add(unassigned.remove(0));
          }
          list.forEach(p -> plan.put(p, i));
        });
  }

  /**
   * Returns the number of partitions of each member. The members that own the most get the ceiling,
   * so that the fewest partitions move.
   */
  private static Map<InstanceId, Integer> quotasByMember(
      Map<InstanceId, List<PartitionId>> owned, int partitionCount) {
    int floor = partitionCount / owned.size();
    int remainder = partitionCount % owned.size();
    Map<InstanceId, Integer> quotas = new HashMap<>();
    List<InstanceId> membersByLoad =
        owned.keySet().stream()
            .sorted(
                Comparator.<InstanceId>comparingInt(i -> -owned.get(i).size())
                    .thenComparing(Comparator.naturalOrder()))
            .toList();
    for (InstanceId i : membersByLoad) {
      quotas.put(i, remainder-- > 0 ? floor + 1 : floor);
    }
    return quotas;
  }
}
