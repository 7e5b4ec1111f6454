package dev.dandelionport.core.scheduler;

import com.google.common.hash.Hashing;
import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.TeamId;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Decides when a task is tried again: jittered backoff within a budget per team. */
final class RetryPolicy {

  /** Distinct workers on which a task must fail before its job is blamed. */
  static final int MAX_FAILED_WORKERS = 4;

  /** Failures after which a job is given up even if they all happened on few workers. */
  static final int MAX_FAILURES = 8;

  /** Lost attempts after which a job is taken to be what kills its workers. */
  static final int MAX_LOSSES = 8;

  private static final long MIN_BACKOFF_MILLIS = 200;
  private static final long MAX_BACKOFF_MILLIS = 30_000;

  /** Retries that a team may make at once; covers the loss of a rack of busy workers. */
  private static final double MAX_TOKENS = 100;

  /** Retries that a team may make per second in the long run. */
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

  /** Returns when an attempt that ended now is followed by the next one, and takes one retry. */
  long retryAtMillis(AttemptId ended, int failures, long now) {
    long backoffMillis =
        Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(16, Math.max(0, failures - 1)));
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

  /** Returns between half of and the whole step, chosen by a hash so that replays agree. */
  static long jittered(String name, long backoffMillis) {
    int h = Hashing.murmur3_32_fixed().hashString(name, StandardCharsets.UTF_8).asInt();
    return backoffMillis / 2 + Math.floorMod(h, Math.max(1, backoffMillis / 2));
  }
}
