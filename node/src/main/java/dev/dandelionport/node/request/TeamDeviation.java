package dev.dandelionport.node.request;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PartitionFigures;
import dev.dandelionport.core.message.PartitionFigures.TeamFigures;
import java.util.List;

/**
 * Deviation of a team from its fair share over several partitions. The deviation in one partition
 * is a fraction of that partition's capacity, so each partition is weighted by its fraction of the
 * total capacity, averaged over the resources that exist.
 */
final class TeamDeviation {

  private TeamDeviation() {}

  /** Returns the deviation of a team. A partition without figures of the team counts as 0. */
  static double of(String team, List<PartitionFigures> partitions) {
    ResourceVector totalCapacity =
        partitions.stream()
            .map(PartitionFigures::capacity)
            .reduce(ResourceVector.ZERO, ResourceVector::plus);
    double totalWeight = 0;
    double weightedSum = 0;
    for (PartitionFigures p : partitions) {
      double weight = weight(p.capacity(), totalCapacity);
      TeamFigures t = p.teams().get(team);
      totalWeight += weight;
      weightedSum += t == null ? 0 : weight * t.deviation();
    }
    return totalWeight > 0 ? weightedSum / totalWeight : 0;
  }

  private static double weight(ResourceVector capacity, ResourceVector totalCapacity) {
    return fraction(capacity.slots(), totalCapacity.slots())
        + fraction(capacity.connections(), totalCapacity.connections())
        + fraction(capacity.milliCores(), totalCapacity.milliCores())
        + fraction(capacity.memoryMb(), totalCapacity.memoryMb())
        + fraction(capacity.accelerators(), totalCapacity.accelerators());
  }

  private static double fraction(long part, long total) {
    return total <= 0 ? 0 : (double) part / total;
  }
}
