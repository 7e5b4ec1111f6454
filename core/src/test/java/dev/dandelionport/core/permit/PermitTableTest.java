package dev.dandelionport.core.permit;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.Region;
import dev.dandelionport.core.manifest.Team;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the division of team limits among partitions. */
class PermitTableTest {

  private static final String REGION = "tallinn";

  private static Manifest manifest(long version, int partitions, Map<String, Integer> limits) {
    List<Team> teams = new ArrayList<>();
    limits.forEach((id, n) -> teams.add(new Team(id, "a", REGION, 1, n, 1, List.of())));
    return new Manifest(
        version, "cell", List.of(new Region(REGION, partitions)), List.of(), teams, List.of());
  }

  private static Manifest randomManifest(Random random, long version, int partitions) {
    Map<String, Integer> limits = new TreeMap<>();
    for (int i = 0; i < 4; i++) {
      if (random.nextInt(5) > 0) {
        limits.put("team-" + i, random.nextInt(60));
      }
    }
    return manifest(version, partitions, limits);
  }

  private static int sum(PermitTable t, TeamId team, Manifest m, boolean effective) {
    return m.partitionsOf(REGION).stream()
        .mapToInt(p -> effective ? t.maxRunning(team, p, m) : t.count(team, p))
        .sum();
  }

  /**
   * Guards against more permits than the limit after any order of moves, lost or repeated changes,
   * and manifests that change limits and the set of teams in between.
   */
  @Property(tries = 300, seed = "1")
  void theCountsOfEveryTeamNeverExceedItsLimit(@ForAll long seed) {
    Random random = new Random(seed);
    int partitions = 1 + random.nextInt(5);
    Manifest m = randomManifest(random, 1, partitions);
    PermitTable stored = PermitTable.initial(m, REGION);
    PermitTable stale = stored;
    for (int step = 0; step < 40; step++) {
      TeamId team = new TeamId("team-" + random.nextInt(4));
      PartitionId from = new PartitionId(REGION, random.nextInt(partitions));
      PartitionId to = new PartitionId(REGION, random.nextInt(partitions));
      // Compare-and-swap refuses a change that was computed for an older table.
      PermitTable base = random.nextInt(4) == 0 ? stale : stored;
      if (random.nextInt(6) == 0) {
        m = randomManifest(random, m.version() + 1, partitions);
      }
      PermitTable changed = base;
      if (random.nextBoolean()) {
        changed = base.adopt(m, REGION);
      } else if (base.count(team, from) > 0) {
        changed = base.move(team, from, to, 1 + random.nextInt(base.count(team, from)));
      }
      if (base == stored) {
        stale = stored;
        stored = changed;
      }
      for (Team t : m.teams()) {
        TeamId id = new TeamId(t.id());
        assertThat(sum(stored, id, m, true)).isLessThanOrEqualTo(t.limit());
        if (stored.manifestVersion() == m.version()) {
          assertThat(sum(stored, id, m, false)).isEqualTo(t.limit());
        }
      }
    }
  }

  /**
   * Guards against exceeding a lowered limit because owners split it differently before the table
   * is rewritten.
   */
  @Property(tries = 200, seed = "2")
  void loweredLimitsAreSplitTheSameBeforeAndAfterTheTableIsRewritten(@ForAll long seed) {
    Random random = new Random(seed);
    int partitions = 1 + random.nextInt(5);
    int limit = 1 + random.nextInt(60);
    TeamId team = new TeamId("team");
    PermitTable t = PermitTable.initial(manifest(1, partitions, Map.of("team", limit)), REGION);
    for (int i = 0; i < 5; i++) {
      PartitionId from = new PartitionId(REGION, random.nextInt(partitions));
      PartitionId to = new PartitionId(REGION, random.nextInt(partitions));
      t = t.move(team, from, to, random.nextInt(t.count(team, from) + 1));
    }
    Manifest lower = manifest(2, partitions, Map.of("team", random.nextInt(limit)));
    PermitTable rewritten = t.adopt(lower, REGION);
    for (PartitionId p : lower.partitionsOf(REGION)) {
      assertThat(rewritten.maxRunning(team, p, lower)).isEqualTo(t.maxRunning(team, p, lower));
    }
  }
}
