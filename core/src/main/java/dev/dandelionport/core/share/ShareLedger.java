package dev.dandelionport.core.share;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.SortedCopies;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tracks the resources that each holder uses, as weighted dominant shares of the capacity in
 * service. A holder is a team of the product's own cell or a client account of the workflows.
 *
 * @param <K> identifies a holder
 */
public final class ShareLedger<K extends Comparable<? super K>> {

  /**
   * Weight of a holder without a share; such a holder only gets capacity that no other holder
   * needs.
   */
  private static final double MIN_WEIGHT = 1e-9;

  /**
   * Time in which the recent use decays to 1/e, in milliseconds; its half-life is 5 s, a few run
   * times of most tasks.
   */
  private static final double RECENT_DECAY_MILLIS = 5_000 / Math.log(2);

  /** Recent shares below this are dropped. */
  private static final double MIN_RECENT_SHARE = 1e-9;

  private final Map<K, ResourceVector> used = new HashMap<>();
  private Map<K, Double> weights = Map.of();

  /** Dominant shares with exponential decay, by holder. */
  private final Map<K, Double> recentShares = new HashMap<>();

  private double weightSum;

  /** Time of the last call of {@link #advance}; long ago before the first one. */
  private long advancedMillis = Long.MIN_VALUE / 2;

  private ResourceVector capacity = ResourceVector.ZERO;

  /** Replaces the weights of the holders. */
  public void setWeights(Map<K, Double> newWeights) {
    weights = SortedCopies.of(newWeights);
    weightSum = weights.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  /** Sets the capacity in service. */
  public void setCapacity(ResourceVector newCapacity) {
    capacity = newCapacity;
  }

  /** Adds to the resources that a holder uses. */
  public void add(K key, ResourceVector size) {
    used.merge(key, size, ResourceVector::plus);
  }

  /** Subtracts from the resources that a holder uses. */
  public void remove(K key, ResourceVector size) {
    used.computeIfPresent(key, (k, v) -> v.minus(size));
  }

  /** Returns the resources that a holder uses. */
  public ResourceVector used(K key) {
    return used.getOrDefault(key, ResourceVector.ZERO);
  }

  /** Returns the largest fraction of any resource that a holder uses. */
  public double dominantShare(K key) {
    return used(key).dominantShareOf(capacity);
  }

  /**
   * Returns the dominant share divided by the holder's weight; the holder with the lowest value
   * goes first.
   */
  public double weightedShare(K key) {
    return dominantShare(key) / weight(key);
  }

  /** Returns whether a holder has a weight. */
  public boolean hasWeight(K key) {
    return weights.getOrDefault(key, 0.0) > 0;
  }

  /** Returns the holder's part of the capacity if all holders with a weight use their part. */
  public double guaranteedShare(K key) {
    return weight(key) / Math.max(MIN_WEIGHT, weightSum);
  }

  /**
   * Accounts for the use since the last call in the recent use, which decays with a half-life of 5
   * s. The use is taken as constant in between, so calls should be much more frequent than that.
   * The first call takes it as constant until then.
   */
  public void advance(long nowMillis) {
    double kept = Math.exp(-(nowMillis - advancedMillis) / RECENT_DECAY_MILLIS);
    advancedMillis = nowMillis;
    recentShares.replaceAll((k, v) -> kept * v);
    for (K k : used.keySet()) {
      double share = dominantShare(k);
      // Without known capacity, the share of any use is infinite.
      if (share > 0 && share < Double.POSITIVE_INFINITY) {
        recentShares.merge(k, (1 - kept) * share, Double::sum);
      }
    }
    recentShares.values().removeIf(v -> v < MIN_RECENT_SHARE);
  }

  /** Returns the mean of the holder's dominant share now and its recent one. */
  public double smoothedShare(K key) {
    return (dominantShare(key) + recentShares.getOrDefault(key, 0.0)) / 2;
  }

  /**
   * Returns the smoothed share of each given holder as a multiple of its fair share of what all of
   * them use: above 1 if it uses more.
   *
   * @param waiting holders that need more than they use, without limit
   * @param others holders whose fair share is at most what they use
   */
  public Map<K, Double> ratiosToFairShare(Set<K> waiting, Set<K> others) {
    Map<K, Double> maxShares = new HashMap<>();
    others.forEach(k -> maxShares.put(k, smoothedShare(k)));
    waiting.forEach(k -> maxShares.put(k, Double.POSITIVE_INFINITY));
    double sum = 0;
    for (K k : maxShares.keySet()) {
      sum += smoothedShare(k);
    }
    Map<K, Double> ratios = new HashMap<>();
    if (sum <= 0 || Double.isInfinite(sum)) {
      maxShares.keySet().forEach(k -> ratios.put(k, 0.0));
      return ratios;
    }
    double total = sum;
    maxShares.replaceAll((k, v) -> v / total);
    fairShares(maxShares)
        .forEach((k, v) -> ratios.put(k, v <= 0 ? 0 : smoothedShare(k) / (v * total)));
    return ratios;
  }

  private double weight(K key) {
    return Math.max(MIN_WEIGHT, weights.getOrDefault(key, 0.0));
  }

  /**
   * Returns the difference of each holder from its fair share of the used capacity, as a fraction:
   * positive above it. The fair share of a holder that does not wait is what it uses; the other
   * holders divide the rest by weight.
   *
   * @param waiting holders that need more than they use, without limit
   */
  public Map<K, Double> deviations(Set<K> waiting) {
    Map<K, Double> demand = new HashMap<>();
    waiting.forEach(t -> demand.put(t, Double.POSITIVE_INFINITY));
    return deviationsFrom(demand);
  }

  /**
   * Returns the difference of each holder from its fair share of the used capacity, as a fraction:
   * positive above it. The fair share of a holder is at most what it uses and waits for; the other
   * holders divide the rest by weight.
   *
   * @param waiting resources that each holder waits for
   */
  public Map<K, Double> deviations(Map<K, ResourceVector> waiting) {
    Map<K, Double> demand = new HashMap<>();
    waiting.forEach((t, v) -> demand.put(t, used(t).plus(v).dominantShareOf(capacity)));
    return deviationsFrom(demand);
  }

  /**
   * Returns the dominant share at which each holder exceeds its fair share by {@code tolerance}, a
   * fraction of the used capacity.
   *
   * @param waiting resources that each holder waits for
   */
  public Map<K, Double> sharesAtDeviation(double tolerance, Map<K, ResourceVector> waiting) {
    Map<K, Double> shares = deviations(waiting);
    double sum = 0;
    for (K t : shares.keySet()) {
      sum += dominantShare(t);
    }
    double totalShare = sum;
    shares.replaceAll((t, d) -> dominantShare(t) + (tolerance - d) * totalShare);
    return shares;
  }

  private Map<K, Double> deviationsFrom(Map<K, Double> demand) {
    Map<K, Double> current = new TreeMap<>();
    used.forEach((t, v) -> current.put(t, v.dominantShareOf(capacity)));
    demand.keySet().forEach(t -> current.putIfAbsent(t, 0.0));
    double sum = current.values().stream().mapToDouble(Double::doubleValue).sum();
    if (sum <= 0 || Double.isInfinite(sum)) {
      current.replaceAll((t, v) -> 0.0);
      return current;
    }
    current.replaceAll((t, v) -> v / sum);
    Map<K, Double> maxShares = new HashMap<>(current);
    demand.forEach((t, v) -> maxShares.put(t, v / sum));
    Map<K, Double> fairShares = fairShares(maxShares);
    Map<K, Double> result = new TreeMap<>();
    current.forEach((t, v) -> result.put(t, v - fairShares.get(t)));
    return result;
  }

  /**
   * Divides the used capacity by weight among holders; no holder gets more than its value in {@code
   * maxShares}.
   */
  private Map<K, Double> fairShares(Map<K, Double> maxShares) {
    List<K> order = new ArrayList<>(maxShares.keySet());
    order.sort(
        Comparator.<K>comparingDouble(k -> maxShares.get(k) / weight(k))
            .thenComparing(Comparator.naturalOrder()));
    // Sums from the end, because subtracting from a total would lose the smallest weights.
    double[] weightSums = new double[order.size() + 1];
    for (int i = order.size() - 1; i >= 0; i--) {
      weightSums[i] = weightSums[i + 1] + weight(order.get(i));
    }
    Map<K, Double> fairShares = new HashMap<>();
    double remaining = 1;
    for (int i = 0; i < order.size(); i++) {
      K k = order.get(i);
      double share = Math.min(maxShares.get(k), remaining * weight(k) / weightSums[i]);
      fairShares.put(k, share);
      remaining -= share;
    }
    return fairShares;
  }
}
