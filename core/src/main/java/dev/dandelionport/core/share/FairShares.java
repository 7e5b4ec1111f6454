package dev.dandelionport.core.share;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides which holders use more than their fair share. Made for one holder of 20 that sends seven
 * times its usual load for some seconds into a cell that is nearly full.
 *
 * <p>The decision has hysteresis: a holder is over its fair share from {@link #ENTER_RATIO} of it
 * until it falls to {@link #LEAVE_RATIO}. It never is while it uses at most its guaranteed share of
 * the whole capacity, nor while fewer than two holders wait.
 *
 * @param <K> identifies a holder
 */
public final class FairShares<K extends Comparable<? super K>> {

  /**
   * Multiple of its fair share above which a holder is over it. At 1.5, the service of 20 equal
   * accounts at 0.9 load is the same as without the decision; see docs/design/fair-shares.md.
   */
  private static final double ENTER_RATIO = 1.5;

  /** Multiple of its fair share down to which a holder remains over it. */
  private static final double LEAVE_RATIO = 1;

  private Set<K> over = Set.of();
  private boolean comparing;

  /**
   * Decides anew.
   *
   * @param ledger use and weights of the holders
   * @param waiting holders with waiting work
   */
  public void update(ShareLedger<K> ledger, Set<K> waiting) {
    comparing = waiting.size() > 1 && waiting.stream().anyMatch(ledger::hasWeight);
    if (!comparing) {
      over = Set.of();
      return;
    }
    // A holder whose work was just started would otherwise be below its share at its next task.
    Set<K> started = new HashSet<>(over);
    started.removeAll(waiting);
    Set<K> now = new HashSet<>();
    ledger
        .ratiosToFairShare(waiting, started)
        .forEach(
            (k, ratio) -> {
              if (ratio > (over.contains(k) ? LEAVE_RATIO : ENTER_RATIO)
                  && ledger.smoothedShare(k) > ledger.guaranteedShare(k)) {
                now.add(k);
              }
            });
    over = now;
  }

  /** Returns whether a holder is over its fair share, by the latest update. */
  public boolean isOver(K key) {
    return over.contains(key);
  }

  /**
   * Returns whether the latest update compared holders: at least two of them waited, and one of
   * these has a weight.
   */
  public boolean isComparing() {
    return comparing;
  }

  /** Returns how many holders are over their fair share. */
  public int countOver() {
    return over.size();
  }
}
