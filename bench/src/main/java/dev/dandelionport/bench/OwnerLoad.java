package dev.dandelionport.bench;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.routing.HomePartition;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Compares how evenly job placement rules distribute the load of skewed teams over owners. */
final class OwnerLoad {
  private static final int JOBS = 100_000;
  private static final int TEAMS = 20;

  private OwnerLoad() {}

  /** Maps the n-th job of a team to the index of its owner. */
  interface PlacementRule {
    int owner(int team, int job);
  }

  /** Returns the Gini coefficient of the loads: 0 if they are equal, up to 1 if one has all. */
  static double gini(long[] load) {
    long[] sorted = load.clone();
    Arrays.sort(sorted);
    double sum = 0;
    double weighted = 0;
    for (int i = 0; i < sorted.length; i++) {
      sum += sorted[i];
      weighted += (i + 1.0) * sorted[i];
    }
    return 2 * weighted / (sorted.length * sum) - (sorted.length + 1.0) / sorted.length;
  }

  /** Returns the number of jobs per owner; team k submits in proportion to 1 / k^skew. */
  static long[] simulateLoad(int owners, double skew, PlacementRule rule) {
    double[] cumulative = cumulativeWeights(skew);
    SplittableRandom random = new SplittableRandom(5);
    long[] load = new long[owners];
    for (int i = 0; i < JOBS; i++) {
      int team = Arrays.binarySearch(cumulative, random.nextDouble());
      load[rule.owner(Math.min(TEAMS - 1, team < 0 ? -team - 1 : team), i)]++;
    }
    return load;
  }

  private static double[] cumulativeWeights(double skew) {
    double[] w = new double[TEAMS];
    double sum = 0;
    for (int k = 0; k < TEAMS; k++) {
      sum += Math.pow(k + 1, -skew);
      w[k] = sum;
    }
    for (int k = 0; k < TEAMS; k++) {
      w[k] /= sum;
    }
    return w;
  }

  /** Returns a rule that hashes each job to an owner. */
  static PlacementRule byJob(int owners) {
    List<PartitionId> ids = partitions(owners);
    return (team, job) ->
        HomePartition.ofJob(new JobKey(new TeamId("t" + team), "j" + job), ids).index();
  }

  /** Returns a rule that hashes each team to one owner for all its jobs. */
  static PlacementRule byTeam(int owners) {
    List<PartitionId> ids = partitions(owners);
    return (team, job) -> HomePartition.ofRack("t" + team, ids).index();
  }

  /**
   * Returns a rule that assigns each team a number of owners in proportion to its load and
   * distributes the jobs of the team over them round-robin.
   */
  static PlacementRule replicated(int owners, double skew) {
    List<PartitionId> ids = partitions(owners);
    double[] cumulative = cumulativeWeights(skew);
    return (team, job) -> {
      double share = cumulative[team] - (team == 0 ? 0 : cumulative[team - 1]);
      int ownersOfTeam = Math.max(1, Math.min(owners, (int) Math.ceil(share * owners)));
      int homeOwner = HomePartition.ofRack("t" + team, ids).index();
      return (homeOwner + job % ownersOfTeam) % owners;
    };
  }

  private static List<PartitionId> partitions(int n) {
    List<PartitionId> ids = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      ids.add(new PartitionId("r", i));
    }
    return ids;
  }

  static void print() {
    PolicyBenchmark.print("Gini coefficient of owner load, 20 teams, 100,000 jobs:");
    PolicyBenchmark.print("%-32s %12s %12s %12s", "", "by job", "by team", "replicated");
    for (int owners : new int[] {4, 8}) {
      for (double skew : new double[] {0.5, 1, 1.5}) {
        PolicyBenchmark.print(
            "%-32s %12.3f %12.3f %12.3f",
            "  " + owners + " owners, skew " + skew,
            gini(simulateLoad(owners, skew, byJob(owners))),
            gini(simulateLoad(owners, skew, byTeam(owners))),
            gini(simulateLoad(owners, skew, replicated(owners, skew))));
      }
    }
  }
}
