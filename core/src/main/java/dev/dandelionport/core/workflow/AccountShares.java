package dev.dandelionport.core.workflow;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.share.FairShares;
import dev.dandelionport.core.share.ShareLedger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Compares what the runs of each client account use with the account's fair share. Made for an
 * account that sends several times its usual load while the others share a nearly full cell.
 *
 * <p>Accounts are compared at most once per {@link #REFRESH_MILLIS}; a lookup takes constant time.
 */
final class AccountShares {

  /**
   * Interval of the comparison in milliseconds. Passes can follow each other within 4 ms, while the
   * shares change over seconds.
   */
  private static final long REFRESH_MILLIS = 50;

  private final CellState cell;
  private final ShareLedger<String> ledger = new ShareLedger<>();
  private final FairShares<String> decision = new FairShares<>();

  /** Accounts with waiting tasks of workflows that were submitted within the account's rate. */
  private final Set<String> waitingWithinRate = new HashSet<>();

  /** Accounts whose workflows above their rate rank as normal work. */
  private final Set<String> ranksAsNormal = new HashSet<>();

  private long nextRefreshMillis;

  AccountShares(CellState cell) {
    this.cell = cell;
  }

  /** Adds a run to what its account uses. */
  void add(Run r) {
    ledger.add(accountOf(r.task.step), r.task.step.spec.size());
  }

  /** Subtracts a run from what its account uses. */
  void remove(Run r) {
    ledger.remove(accountOf(r.task.step), r.task.step.spec.size());
  }

  /** Returns the resources of an account's runs, including runs that are being stopped. */
  ResourceVector used(String account) {
    return ledger.used(account);
  }

  /** Applies the weights of the configuration. */
  void applyPolicy() {
    Map<String, Double> weights = new HashMap<>();
    cell.policy.accounts().forEach((name, a) -> weights.put(name, a.weight()));
    ledger.setWeights(weights);
    nextRefreshMillis = cell.now;
  }

  /**
   * Compares the accounts anew if the last comparison is old enough. Without fair shares no account
   * is ever over its share.
   */
  void refresh() {
    if (!cell.limits.fairShares() || cell.now < nextRefreshMillis) {
      return;
    }
    nextRefreshMillis = cell.now + REFRESH_MILLIS;
    ResourceVector capacity = ResourceVector.ZERO;
    for (Runner r : cell.runners.values()) {
      capacity = r.listed ? capacity.plus(r.described().description.capacity()) : capacity;
    }
    ledger.setCapacity(capacity);
    ledger.advance(cell.now);
    Set<String> waiting = waiting();
    decision.update(ledger, waiting);
    ranksAsNormal.clear();
    if (decision.isComparing()) {
      ranksAsNormal.addAll(waiting);
      ranksAsNormal.removeIf(a -> waitingWithinRate.contains(a) || decision.isOver(a));
    }
  }

  /** Returns the configured accounts with waiting tasks that their ceiling permits to start. */
  private Set<String> waiting() {
    Set<String> waiting = new HashSet<>();
    waitingWithinRate.clear();
    for (Step s : cell.ready) {
      String account = accountOf(s);
      boolean isWithinRate = !s.workflow.spec.excess();
      boolean isKnown = (isWithinRate ? waitingWithinRate : waiting).contains(account);
      if (!isKnown
          && cell.policy.accounts().containsKey(account)
          && s.hasWaiting()
          && cell.tasksBelowCeiling(s) > 0) {
        waiting.add(account);
        if (isWithinRate) {
          waitingWithinRate.add(account);
        }
      }
    }
    return waiting;
  }

  /** Returns whether an account is over its fair share. */
  boolean isOver(String account) {
    return decision.isOver(account);
  }

  /** Returns whether the account of a step is over its fair share. */
  boolean isOver(Step s) {
    return decision.isOver(accountOf(s));
  }

  /**
   * Returns whether a step ranks behind the work of other accounts because its workflow was
   * submitted above the rate of its account. It no longer does when the account is not over its
   * fair share and has no other work waiting.
   */
  boolean isBehind(Step s) {
    return s.workflow.spec.excess() && !ranksAsNormal.contains(accountOf(s));
  }

  /**
   * Returns whether a new workflow above the rate of an account would rank behind the work of
   * others: always while accounts are not compared, otherwise if the account is over its fair share
   * or has other work waiting.
   */
  boolean ranksExcessBehind(String account) {
    return !decision.isComparing() || isOver(account) || waitingWithinRate.contains(account);
  }

  /** Returns whether at least two accounts wait, so that their shares count. */
  boolean isComparing() {
    return decision.isComparing();
  }

  /** Returns how many accounts are over their fair share. */
  int countOver() {
    return decision.countOver();
  }

  private static String accountOf(Step s) {
    return s.workflow.spec.account();
  }
}
