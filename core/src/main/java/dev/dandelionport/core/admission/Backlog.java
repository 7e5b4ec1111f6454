package dev.dandelionport.core.admission;

import dev.dandelionport.core.common.ResourceVector;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sums of the accepted and unfinished work of a pool by account and priority. It is filled once and
 * then queried for each submission, so a pool with thousands of waiting steps costs a submission no
 * more than one with ten. Not thread-safe.
 */
public final class Backlog {

  /**
   * Waiting tasks of a step.
   *
   * @param account account that submitted the step
   * @param priority priority of its queue
   * @param overShare whether it ranks behind other work because of its account's share
   * @param lateMillis when it starts to rank as late unless it has started
   * @param dueMillis when its workflow should be done
   * @param worthlessMillis when its result is of no use any more
   */
  public record Waiting(
      String account,
      int priority,
      boolean overShare,
      long lateMillis,
      long dueMillis,
      long worthlessMillis) {}

  /** Sums for one account; the work of short runs by the time that matters for the order. */
  private static final class AccountWork {
    final Map<Integer, KeyedWork> byLateTime = new TreeMap<>();
    final KeyedWork byWorthlessTime = new KeyedWork();
    final Map<Integer, KeyedWork> overShareByDueTime = new TreeMap<>();
    final TreeMap<Integer, Work> running = new TreeMap<>();
    Work typical = Work.ZERO;
  }

  private final long computedMillis;
  private final Map<String, AccountWork> accounts = new HashMap<>();
  private double longestMillis;
  private Work typical = Work.ZERO;

  /** Creates an empty backlog of a time. */
  public Backlog(long computedMillis) {
    this.computedMillis = computedMillis;
  }

  long computedMillis() {
    return computedMillis;
  }

  /** Returns the longest of the short runs, which bounds what is in progress at any time. */
  double longestMillis() {
    return longestMillis;
  }

  /**
   * Adds waiting tasks.
   *
   * @param size resources of all these tasks
   * @param shortMillis run time that nearly all runs of the queue exceed
   * @param typicalMillis expected run time
   */
  public void addWaiting(Waiting w, ResourceVector size, double shortMillis, double typicalMillis) {
    if (w.worthlessMillis() <= computedMillis && !w.overShare()) {
      return;
    }
    AccountWork a = account(w.account());
    addTypical(a, Work.of(size, typicalMillis));
    if (shortMillis <= 0) {
      return;
    }
    longestMillis = Math.max(longestMillis, shortMillis);
    Work work = Work.of(size, shortMillis);
    if (w.overShare()) {
      a.overShareByDueTime
          .computeIfAbsent(w.priority(), k -> new KeyedWork())
          .add(w.dueMillis(), work);
      return;
    }
    a.byWorthlessTime.add(w.worthlessMillis(), work);
    if (w.lateMillis() >= computedMillis) {
      a.byLateTime.computeIfAbsent(w.priority(), k -> new KeyedWork()).add(w.lateMillis(), work);
    }
  }

  /** Adds the remaining work of a run, if it is a short one and as expected. */
  public void addRunning(
      String account,
      int priority,
      ResourceVector size,
      double shortRemainingMillis,
      double typicalRemainingMillis) {
    AccountWork a = account(account);
    addTypical(a, Work.of(size, typicalRemainingMillis));
    longestMillis = Math.max(longestMillis, shortRemainingMillis);
    a.running.merge(priority, Work.of(size, shortRemainingMillis), Work::plus);
  }

  private AccountWork account(String name) {
    return accounts.computeIfAbsent(name, k -> new AccountWork());
  }

  private void addTypical(AccountWork a, Work w) {
    a.typical = a.typical.plus(w);
    typical = typical.plus(w);
  }

  /** Returns the expected remaining work of all accounts. */
  public Work typical() {
    return typical;
  }

  /** Returns the expected remaining work of an account. */
  public Work typicalOf(String account) {
    AccountWork a = accounts.get(account);
    return a == null ? Work.ZERO : a.typical;
  }

  /**
   * Returns the work that is certainly handled before a submission, as far as the quotas of the
   * accounts permit it within a time.
   */
  Work ahead(Demand d, boolean overShare, double withinMillis, Quotas quotas) {
    Work sum = Work.ZERO;
    for (Map.Entry<String, AccountWork> e : accounts.entrySet()) {
      Work w = sumAhead(e.getValue(), d, overShare);
      sum = sum.plus(w.within(quotas.of(e.getKey()), withinMillis));
    }
    return sum;
  }

  /** Returns the work of the submission's own account that is certainly handled before it. */
  Work aheadInAccount(Demand d, boolean overShare) {
    AccountWork a = accounts.get(d.account());
    return a == null ? Work.ZERO : sumAhead(a, d, overShare);
  }

  private static Work sumAhead(AccountWork a, Demand d, boolean overShare) {
    Work sum = Work.ZERO;
    for (Work w : a.running.headMap(d.priority(), true).values()) {
      sum = sum.plus(w);
    }
    if (!overShare) {
      // Work that turns late before the submission does is overtaken by it, so that it is not
      // certainly ahead. Among work of one priority, that is all that is due earlier.
      for (Map.Entry<Integer, KeyedWork> e : a.byLateTime.entrySet()) {
        sum = e.getKey() < d.priority() ? sum.plus(e.getValue().from(d.dueMillis())) : sum;
      }
      return sum;
    }
    sum = sum.plus(a.byWorthlessTime.from(d.worthlessMillis()));
    for (Map.Entry<Integer, KeyedWork> e : a.overShareByDueTime.entrySet()) {
      int order = Integer.compare(e.getKey(), d.priority());
      sum = order < 0 ? sum.plus(e.getValue().total()) : sum;
      sum = order == 0 ? sum.plus(e.getValue().until(d.dueMillis())) : sum;
    }
    return sum;
  }
}
