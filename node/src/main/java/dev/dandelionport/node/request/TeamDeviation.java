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
    ResourceVector all =
        partitions.stream()
            .map(PartitionFigures::capacity)
            .reduce(ResourceVector.ZERO, ResourceVector::plus);
    double weights = 0;
    double sum = 0;
    for (PartitionFigures p : partitions) {
      double weight = weight(p.capacity(), all);
      TeamFigures t = p.teams().get(team);
      weights += weight;
      sum += t == null ? 0 : weight * t.deviation();
    }
    return weights > 0 ? sum / weights : 0;
  }

  private static double weight(ResourceVector part, ResourceVector all) {
    return fraction(part.slots(), all.slots())
        + fraction(part.connections(), all.connections())
        + fraction(part.milliCores(), all.milliCores())
        + fraction(part.memoryMb(), all.memoryMb())
        + fraction(part.accelerators(), all.accelerators());
  }

  private static double fraction(long part, long all) {
    return all <= 0 ? 0 : (double) part / all;
  }
}
