package dev.dandelionport.core.dispatch;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits how many calls to runners are in flight at the same time, and adapts the limit to the time
 * in which answers arrive. Calls beyond what a small machine can handle time out although their
 * runners have answered, which causes further calls, and delay the journal and the lease. Guarded
 * by the owner's shard.
 */
final class CallLimiter {

  /** Time of an answer up to which the machine counts as able to handle more calls at once. */
  private static final long FAST_ANSWER_MILLIS = 100;

  private static final int MAX_LIMIT = 1_000;

  /** A sender whose next call may have to wait. */
  @FunctionalInterface
  interface Sender {
    /** Sends what is still to be sent, as far as the limiter admits it. */
    void send();
  }

  private final int minLimit;
  private final Set<Sender> urgent = new LinkedHashSet<>();
  private final Set<Sender> others = new LinkedHashSet<>();
  private int limit;
  private int inFlight;
  private long lastDecreaseMillis = Long.MIN_VALUE;
  private long lastFastAnswerMillis = Long.MIN_VALUE;

  /** Creates a limiter that always allows {@code minLimit} calls. */
  CallLimiter(int minLimit, int initialLimit) {
    this.minLimit = minLimit;
    this.limit = initialLimit;
  }

  /**
   * Returns whether a call may be sent now. Otherwise {@link Sender#send} is called when its turn
   * comes, that of urgent senders first.
   */
  boolean admits(Sender s, boolean isUrgent) {
    if (inFlight >= limit) {
      (isUrgent ? urgent : others).add(s);
      return false;
    }
    urgent.remove(s);
    others.remove(s);
    return true;
  }

  /** Records that a call is sent; {@link #completed} must follow. */
  void sent() {
    inFlight++;
  }

  /** Records that a call has completed, and lets waiting senders continue. */
  void completed(long sentMillis, long nowMillis, boolean answered) {
    adapt(sentMillis, nowMillis, answered);
    inFlight--;
    while (inFlight < limit && !(urgent.isEmpty() && others.isEmpty())) {
      poll(urgent.isEmpty() ? others : urgent).send();
    }
  }

  private void adapt(long sentMillis, long nowMillis, boolean answered) {
    if (answered && nowMillis - sentMillis <= FAST_ANSWER_MILLIS) {
      lastFastAnswerMillis = nowMillis;
      // An unused limit says nothing about what the machine can handle.
      if (2 * inFlight >= limit) {
        limit = Math.min(MAX_LIMIT, limit + 1);
      }
      return;
    }
    // While others answer fast, a call without an answer tells of its runner, not of this machine.
    boolean runnerFailed = !answered && lastFastAnswerMillis >= sentMillis;
    // Calls that were sent before the latest decrease do not show its effect yet.
    if (!runnerFailed && sentMillis >= lastDecreaseMillis) {
      limit = Math.max(minLimit, limit * 3 / 4);
      lastDecreaseMillis = nowMillis;
    }
  }

  /** Returns the current limit of calls in flight. */
  int limit() {
    return limit;
  }

  /** Returns how many senders wait for their turn. */
  int waiting() {
    return urgent.size() + others.size();
  }

  private static Sender poll(Set<Sender> waiting) {
    Iterator<Sender> i = waiting.iterator();
    Sender first = i.next();
    i.remove();
    return first;
  }
}
