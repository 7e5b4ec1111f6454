package dev.dandelionport.core.permit;

import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.Team;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many tasks of each team the partitions of one region may run. Changed only by
 * compare-and-swap on the store, so that every change applies to the table for which it was
 * computed. The counts of a team never add up to more than its limit in the manifest of {@code
 * manifestVersion}.
 *
 * @param manifestVersion version of the manifest whose limits the counts divide
 * @param counts number of permits by team and partition
 * @param epochs epoch of the owner that last took over the table, by partition; a change sent
 *     earlier by a former owner no longer applies
 */
public record PermitTable(
    long manifestVersion, Map<String, Map<String, Integer>> counts, Map<String, Long> epochs) {

  /** Copies the maps. */
  public PermitTable {
    counts = SortedCopies.of(counts);
    epochs = SortedCopies.of(epochs);
  }

  /** Divides the limits of the teams of a region equally among its partitions. */
  public static PermitTable initial(Manifest m, String region) {
    return new PermitTable(0, Map.of(), Map.of()).adopt(m, region);
  }

  /**
   * Returns the table for a newer manifest. Lowered limits are split in proportion to the counts,
   * the difference of raised limits and the limits of new teams are divided equally, and removed
   * teams are omitted. An older manifest changes nothing.
   */
  public PermitTable adopt(Manifest m, String region) {
    if (m.version() <= manifestVersion) {
      return this;
    }
    List<String> partitions = m.partitionsOf(region).stream().map(PartitionId::toString).toList();
    Map<String, Map<String, Integer>> newCounts = new TreeMap<>();
    for (Team t : m.teams()) {
      if (t.homeRegion().equals(region)) {
        newCounts.put(
            t.id(), redistribute(counts.getOrDefault(t.id(), Map.of()), t.limit(), partitions));
      }
    }
    return new PermitTable(m.version(), newCounts, epochs);
  }

  private static Map<String, Integer> redistribute(
      Map<String, Integer> oldCounts, int limit, List<String> partitions) {
    Map<String, Integer> newCounts = new TreeMap<>();
    partitions.forEach(p -> newCounts.put(p, oldCounts.getOrDefault(p, 0)));
    int sum = sum(newCounts);
    if (sum >= limit) {
      return split(limit, newCounts);
    }
    Map<String, Integer> equalWeights = new TreeMap<>();
    partitions.forEach(p -> equalWeights.put(p, 1));
    split(limit - sum, equalWeights).forEach((p, n) -> newCounts.merge(p, n, Integer::sum));
    return newCounts;
  }

  /**
   * Returns how many tasks of a team a partition may run under {@code m}, which may be newer than
   * the table. All owners compute the same split, so a lowered limit takes effect before the table
   * is rewritten.
   */
  public int maxRunning(TeamId team, PartitionId p, Manifest m) {
    Map<String, Integer> teamCounts = counts.get(team.value());
    int limit = m.team(team).map(Team::limit).orElse(0);
    if (teamCounts == null) {
      return 0;
    }
    Map<String, Integer> effectiveCounts =
        sum(teamCounts) <= limit ? teamCounts : split(limit, teamCounts);
    return effectiveCounts.getOrDefault(p.toString(), 0);
  }

  /** Returns the number of permits of a team that a partition holds. */
  public int count(TeamId team, PartitionId p) {
    return counts.getOrDefault(team.value(), Map.of()).getOrDefault(p.toString(), 0);
  }

  /**
   * Moves permits between partitions. Only the owner of {@code from} may do this, after it has
   * lowered its own limit. Throws {@link IllegalArgumentException} if {@code from} holds fewer
   * permits.
   */
  public PermitTable move(TeamId team, PartitionId from, PartitionId to, int permits) {
    if (permits < 0 || permits > count(team, from)) {
      throw new IllegalArgumentException(
          from
              + " holds "
              + count(team, from)
              + " permits of "
              + team
              + ", cannot move "
              + permits);
    }
    Map<String, Integer> teamCounts = new TreeMap<>(counts.get(team.value()));
    teamCounts.merge(from.toString(), -permits, Integer::sum);
    teamCounts.merge(to.toString(), permits, Integer::sum);
    Map<String, Map<String, Integer>> newCounts = new TreeMap<>(counts);
    newCounts.put(team.value(), teamCounts);
    return new PermitTable(manifestVersion, newCounts, epochs);
  }

  /** Returns the table after a takeover by the owner of {@code p} with this epoch. */
  public PermitTable withOwnerEpoch(PartitionId p, long epoch) {
    Map<String, Long> newEpochs = new TreeMap<>(epochs);
    newEpochs.merge(p.toString(), epoch, Math::max);
    return new PermitTable(manifestVersion, counts, newEpochs);
  }

  /** Returns the epoch of the owner that last took the table over for a partition, or 0. */
  public long epoch(PartitionId p) {
    return epochs.getOrDefault(p.toString(), 0L);
  }

  private static int sum(Map<String, Integer> counts) {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Divides {@code total} in proportion to the weights by the method of largest remainders; equal
   * remainders are ordered by key. The parts are equal if all weights are 0.
   */
  static Map<String, Integer> split(int total, Map<String, Integer> weights) {
    Map<String, Integer> parts = new TreeMap<>();
    long sum = sum(weights);
    Map<String, Long> remainders = new TreeMap<>();
    int assigned = 0;
    for (Map.Entry<String, Integer> e : weights.entrySet()) {
      long weight = sum == 0 ? 1 : e.getValue();
      long weightSum = sum == 0 ? weights.size() : sum;
      int part = (int) (total * weight / weightSum);
      parts.put(e.getKey(), part);
      remainders.put(e.getKey(), total * weight % weightSum);
      assigned += part;
    }
    List<String> byRemainder = new ArrayList<>(remainders.keySet());
    byRemainder.sort(
        Comparator.<String, Long>comparing(remainders::get)
            .reversed()
            .thenComparing(Comparator.naturalOrder()));
    for (String p : byRemainder.subList(0, Math.min(byRemainder.size(), total - assigned))) {
      parts.merge(p, 1, Integer::sum);
    }
    return parts;
  }
}
