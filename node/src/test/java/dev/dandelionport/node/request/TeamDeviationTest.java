package dev.dandelionport.node.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.message.PartitionFigures;
import dev.dandelionport.core.message.PartitionFigures.TeamFigures;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the deviation of a team over several partitions. */
class TeamDeviationTest {

  private static PartitionFigures partition(int workers, double deviation) {
    Map<String, TeamFigures> teams = Map.of("a", new TeamFigures(1, 0.5, deviation));
    ResourceVector capacity =
        new ResourceVector(8 * workers, 64 * workers, 64_000L * workers, 1_000L * workers, 0);
    return new PartitionFigures(0, 1, workers, 0, teams, Map.of(), capacity);
  }

  /** Guards against a small partition that has the same weight as a large one. */
  @Test
  void partitionsAreWeightedByTheirCapacity() {
    List<PartitionFigures> p = List.of(partition(9, 0.1), partition(1, -0.5));
    assertThat(TeamDeviation.of("a", p)).isCloseTo(0.04, within(1e-9));
  }

  /**
   * Guards against a division by zero without workers, and a failure for a team without figures.
   */
  @Test
  void emptyPartitionsAndUnknownTeamsCountAsNoDeviation() {
    assertThat(TeamDeviation.of("a", List.of(partition(0, 0.3)))).isZero();
    assertThat(TeamDeviation.of("a", List.of())).isZero();
    assertThat(TeamDeviation.of("b", List.of(partition(2, 0.3)))).isZero();
  }
}
