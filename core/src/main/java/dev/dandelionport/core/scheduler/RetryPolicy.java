package dev.dandelionport.core.scheduler;

import com.google.common.hash.Hashing;
import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.TeamId;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a task is retried: exponential backoff with jitter, within a token bucket per team.
 */
final class RetryPolicy {

  /**
   * Number of distinct workers on which a task must fail before the failures are attributed to its
   * job.
   */
  static final int MAX_FAILED_WORKERS = 4;

  /** Number of failures after which a job fails even if they occurred on few workers. */
  static final int MAX_FAILURES = 8;

  /** Number of lost attempts after which a job is assumed to crash its workers. */
  static final int MAX_LOSSES = 8;

  private static final long INITIAL_BACKOFF_MILLIS = 200;
  private static final long MAX_BACKOFF_MILLIS = 30_000;

  /** Retries that a team may make in a burst; covers the loss of a rack of busy workers. */
  private static final double MAX_TOKENS = 100;

  /** Sustained rate of retries per team. */
  private static final double TOKENS_PER_SECOND = 10;

  private static final class Budget {
    double tokens = MAX_TOKENS;
    long updatedMillis;
  }

  private final Map<TeamId, Budget> budgets = new HashMap<>();

  static boolean isExhausted(TaskState t) {
    return t.failedOn.size() >= MAX_FAILED_WORKERS
        || t.failures >= MAX_FAILURES
        || t.losses >= MAX_LOSSES;
  }

  /**
   * Returns when the task of an attempt that ended now may be retried, and takes one token from the
   * budget of its team.
   */
  long retryAtMillis(AttemptId ended, int failures, long now) {
    long backoffMillis =
        Math.min(
            MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(16, Math.max(0, failures - 1)));
    final long jitteredMillis = jittered(ended.toString(), backoffMillis);
    Budget b = budgets.computeIfAbsent(ended.job().team(), k -> new Budget());
    if (b.updatedMillis != 0) {
      b.tokens =
          Math.min(MAX_TOKENS, b.tokens + (now - b.updatedMillis) * TOKENS_PER_SECOND / 1_000);
    }
    b.updatedMillis = now;
    b.tokens--;
    long budgetWaitMillis = b.tokens >= 0 ? 0 : (long) (-b.tokens * 1_000 / TOKENS_PER_SECOND);
    return now + Math.max(jitteredMillis, budgetWaitMillis);
  }

  /**
   * Returns a time between half of {@code backoffMillis} and all of it. A hash of the name
   * determines the time, so that a replay computes the same one.
   */
  static long jittered(String name, long backoffMillis) {
    int h = Hashing.murmur3_32_fixed().hashString(name, StandardCharsets.UTF_8).asInt();
    return backoffMillis / 2 + Math.floorMod(h, Math.max(1, backoffMillis / 2));
  }
}
