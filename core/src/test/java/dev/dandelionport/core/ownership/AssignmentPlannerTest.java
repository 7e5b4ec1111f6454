package dev.dandelionport.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.port.InstanceInfo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class AssignmentPlannerTest {

  private final List<PartitionId> partitions = new ArrayList<>();
  private final Map<String, InstanceInfo> members = new TreeMap<>();
  private final Map<InstanceId, Long> liveSessions = new HashMap<>();
  private final Map<String, PartitionOwner> owners = new TreeMap<>();

  private void randomCell(Random random) {
    // jqwik uses one instance of this class for all tries of a property.
    partitions.clear();
    members.clear();
    liveSessions.clear();
    owners.clear();
    for (String region : List.of("a", "b")) {
      int count = 1 + random.nextInt(6);
      for (int i = 0; i < count; i++) {
        partitions.add(new PartitionId(region, i));
      }
      int instances = random.nextInt(5);
      for (int i = 0; i < instances; i++) {
        InstanceId id = new InstanceId(region + "-" + i);
        members.put(id.value(), new InstanceInfo(id, region, "fd", "h", 1));
        if (random.nextInt(4) > 0) {
          liveSessions.put(id, 1L + random.nextInt(2));
        }
      }
    }
    List<String> ids = new ArrayList<>(members.keySet());
    for (PartitionId p : partitions) {
      if (!ids.isEmpty() && random.nextInt(3) > 0) {
        InstanceId o = new InstanceId(ids.get(random.nextInt(ids.size())));
        owners.put(p.toString(), new PartitionOwner(o, 1, 1 + random.nextInt(2), false));
      }
    }
  }

  private Map<PartitionId, InstanceId> plan() {
    return AssignmentPlanner.plan(
        new AssignmentTable(1, members, owners), liveSessions, partitions);
  }

  private void apply(Map<PartitionId, InstanceId> plan) {
    plan.forEach(
        (p, o) -> owners.put(p.toString(), new PartitionOwner(o, 2, liveSessions.get(o), true)));
  }

  /**
   * Fails if the plan for a random cell distributes a region's partitions unevenly, or assigns one
   * to a member of another region or to a member without a valid lease.
   */
  @Property(tries = 300, seed = "1")
  void everyLiveMemberOwnsAnEvenPartOfItsRegion(@ForAll long seed) {
    randomCell(new Random(seed));
    Map<PartitionId, InstanceId> plan = plan();
    for (String region : List.of("a", "b")) {
      List<PartitionId> regionPartitions =
          partitions.stream().filter(p -> p.region().equals(region)).toList();
      List<InstanceId> liveMembers =
          liveSessions.keySet().stream()
              .filter(i -> members.get(i.value()).region().equals(region))
              .toList();
      assertThat(regionPartitions).allMatch(p -> plan.containsKey(p) != liveMembers.isEmpty());
      for (InstanceId i : liveMembers) {
        long n = regionPartitions.stream().filter(p -> plan.get(p).equals(i)).count();
        assertThat(n)
            .isBetween(
                (long) regionPartitions.size() / liveMembers.size(),
                ((long) regionPartitions.size() + liveMembers.size() - 1) / liveMembers.size());
      }
      assertThat(regionPartitions)
          .allMatch(p -> liveMembers.isEmpty() || liveMembers.contains(plan.get(p)));
    }
  }

  /**
   * Fails if planning again after a plan was applied gives another plan, so that partitions move
   * back and forth.
   */
  @Property(tries = 300, seed = "2")
  void planningAgainAfterApplyingPlanChangesNothing(@ForAll long seed) {
    randomCell(new Random(seed));
    Map<PartitionId, InstanceId> plan = plan();
    apply(plan);
    assertThat(plan()).isEqualTo(plan);
  }

  /** Fails if the join of a member moves partitions between members that were there before. */
  @Property(tries = 300, seed = "3")
  void joinMovesPartitionsOnlyToTheNewMember(@ForAll long seed) {
    randomCell(new Random(seed));
    Map<PartitionId, InstanceId> before = plan();
    apply(before);
    InstanceId joined = new InstanceId("a-new");
    members.put(joined.value(), new InstanceInfo(joined, "a", "fd", "h", 1));
    liveSessions.put(joined, 7L);
    Map<PartitionId, InstanceId> after = plan();
    assertThat(after.keySet())
        .allMatch(p -> after.get(p).equals(before.get(p)) || after.get(p).equals(joined));
  }

  /**
   * Fails if an instance that registered again with a new session still counts as the owner of
   * partitions that it owned in its earlier session.
   */
  @Property(tries = 100, seed = "4")
  void ownerOfAnEarlierSessionIsNotTheLiveOwner(@ForAll long seed) {
    randomCell(new Random(seed));
    AssignmentTable t = new AssignmentTable(1, members, owners);
    for (PartitionId p : partitions) {
      AssignmentPlanner.liveOwner(t, liveSessions, p)
          .ifPresent(
              o -> assertThat(liveSessions.get(o)).isEqualTo(t.owner(p).orElseThrow().session()));
    }
  }
}
