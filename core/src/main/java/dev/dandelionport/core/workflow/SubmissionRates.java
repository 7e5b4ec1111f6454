package dev.dandelionport.core.workflow;

import dev.dandelionport.core.admission.FairShare;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import java.util.HashMap;
import java.util.Map;

/** Limits the rate of submissions of each account that rank as normal to the account's weight. */
final class SubmissionRates implements FairShare {

  /** Time for which unused submissions of an account accumulate, in seconds. */
  private static final double BURST_SECONDS = 1;

  private final CellState cell;
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  SubmissionRates(CellState cell) {
    this.cell = cell;
  }

  /** Counts a submission. Returns whether it exceeds the rate of its account. */
  boolean recordSubmission(String account) {
    Account a = cell.policy.accounts().get(account);
    return a != null && !bucket(account).tryTake(a.weight(), cell.now);
  }

  @Override
  public boolean isExceededBy(String account) {
    Account a = cell.policy.accounts().get(account);
    return a != null
        && !bucket(account).hasToken(a.weight(), cell.now)
        && cell.shares.ranksExcessBehind(account);
  }

  private TokenBucket bucket(String account) {
    return buckets.computeIfAbsent(account, k -> new TokenBucket(BURST_SECONDS));
  }
}
