package dev.dandelionport.core.share;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.SortedCopies;
import dev.dandelionport.core.common.TeamId;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tracks the resources that each team uses, as weighted dominant shares of the capacity in service.
 */
public final class ShareLedger {

  /** Weight of a team without a share; such a team only gets capacity that no other team needs. */
  private static final double MIN_WEIGHT = 1e-9;

  private final Map<TeamId, ResourceVector> used = new HashMap<>();
  private Map<TeamId, Double> weights = Map.of();
  private ResourceVector capacity = ResourceVector.ZERO;

  /** Replaces the weights of the teams. */
  public void setWeights(Map<TeamId, Double> newWeights) {
    weights = SortedCopies.of(newWeights);
  }

  /** Sets the capacity in service. */
  public void setCapacity(ResourceVector newCapacity) {
    capacity = newCapacity;
  }

  /** Adds to the resources that a team uses. */
  public void add(TeamId team, ResourceVector size) {
    used.merge(team, size, ResourceVector::plus);
  }

  /** Subtracts from the resources that a team uses. */
  public void remove(TeamId team, ResourceVector size) {
    used.computeIfPresent(team, (k, v) -> v.minus(size));
  }

  /** Returns the resources that a team uses. */
  public ResourceVector used(TeamId team) {
    return used.getOrDefault(team, ResourceVector.ZERO);
  }

  /** Returns the largest fraction of any resource that a team uses. */
  public double dominantShare(TeamId team) {
    return used(team).dominantShareOf(capacity);
  }

  /**
   * Returns the dominant share divided by the team's weight; the team with the lowest value goes
   * first.
   */
  public double weightedShare(TeamId team) {
    return dominantShare(team) / weight(team);
  }

  private double weight(TeamId team) {
    return Math.max(MIN_WEIGHT, weights.getOrDefault(team, 0.0));
  }

  /**
   * Returns the difference of each team from its fair share of the used capacity, as a fraction:
   * positive above it. The fair share of a team that does not wait is what it uses; the other teams
   * divide the rest by weight.
   *
   * @param waiting teams that need more than they use, without limit
   */
  public Map<TeamId, Double> deviations(Set<TeamId> waiting) {
    Map<TeamId, Double> demand = new HashMap<>();
    waiting.forEach(t -> demand.put(t, Double.POSITIVE_INFINITY));
    return deviationsFrom(demand);
  }

  /**
   * Returns the difference of each team from its fair share of the used capacity, as a fraction:
   * positive above it. The fair share of a team is at most what it uses and waits for; the other
   * teams divide the rest by weight.
   *
   * @param waiting resources that each team waits for
   */
  public Map<TeamId, Double> deviations(Map<TeamId, ResourceVector> waiting) {
    Map<TeamId, Double> demand = new HashMap<>();
    waiting.forEach((t, v) -> demand.put(t, used(t).plus(v).dominantShareOf(capacity)));
    return deviationsFrom(demand);
  }

  /**
   * Returns the dominant share at which each team exceeds its fair share by {@code tolerance}, a
   * fraction of the used capacity.
   *
   * @param waiting resources that each team waits for
   */
  public Map<TeamId, Double> sharesAtDeviation(
      double tolerance, Map<TeamId, ResourceVector> waiting) {
    Map<TeamId, Double> shares = deviations(waiting);
    double sum = 0;
    for (TeamId t : shares.keySet()) {
      sum += dominantShare(t);
    }
    double totalShare = sum;
    shares.replaceAll((t, d) -> dominantShare(t) + (tolerance - d) * totalShare);
    return shares;
  }

  private Map<TeamId, Double> deviationsFrom(Map<TeamId, Double> demand) {
    Map<TeamId, Double> current = new TreeMap<>();
    used.forEach((t, v) -> current.put(t, v.dominantShareOf(capacity)));
    demand.keySet().forEach(t -> current.putIfAbsent(t, 0.0));
    double sum = current.values().stream().mapToDouble(Double::doubleValue).sum();
    if (sum <= 0 || Double.isInfinite(sum)) {
      current.replaceAll((t, v) -> 0.0);
      return current;
    }
    current.replaceAll((t, v) -> v / sum);
    Map<TeamId, Double> maxShares = new HashMap<>(current);
    demand.forEach((t, v) -> maxShares.put(t, v / sum));
    Map<TeamId, Double> fairShares = fairShares(maxShares);
    Map<TeamId, Double> result = new TreeMap<>();
    current.forEach((t, v) -> result.put(t, v - fairShares.get(t)));
    return result;
  }

  /**
   * Divides the used capacity by weight among teams; no team gets more than its value in {@code
   * maxShares}.
   */
  private Map<TeamId, Double> fairShares(Map<TeamId, Double> maxShares) {
    Map<TeamId, Double> fairShares = new HashMap<>();
    double remaining = 1;
    boolean changed = true;
    while (changed) {
      changed = false;
      double weightSum = 0;
      for (TeamId t : maxShares.keySet()) {
        weightSum += fairShares.containsKey(t) ? 0 : weight(t);
      }
      for (Map.Entry<TeamId, Double> e : maxShares.entrySet()) {
        TeamId t = e.getKey();
        if (!fairShares.containsKey(t) && e.getValue() <= remaining * weight(t) / weightSum) {
          fairShares.put(t, e.getValue());
          remaining -= e.getValue();
          changed = true;
          break;
        }
      }
    }
    double remainingWeight = 0;
    for (TeamId t : maxShares.keySet()) {
      remainingWeight += fairShares.containsKey(t) ? 0 : weight(t);
    }
    for (TeamId t : maxShares.keySet()) {
      if (!fairShares.containsKey(t)) {
        fairShares.put(t, remaining * weight(t) / remainingWeight);
      }
    }
    return fairShares;
  }
}
