package dev.dandelionport.core.dispatch;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits how many runners a new owner asks for their state at the same time. Each first call opens
 * a connection; asked all at once, hundreds of runners occupy a small machine for seconds, in which
 * neither its journal nor any start makes progress. The limit follows the rate at which answers
 * arrive, and runners that have runs to settle come first. Guarded by the owner's shard.
 */
final class ContactLimiter {

  /** Number of first calls in flight that is always allowed. */
  static final int MIN_LIMIT = 4;

  /** Time of an answer up to which the machine counts as able to handle more calls at once. */
  private static final long FAST_ANSWER_MILLIS = 100;

  /** A runner whose first call may have to wait. */
  @FunctionalInterface
  interface Contact {
    /** Sends the call if it is still needed, after a new {@link #tryAcquire}. */
    void call();
  }

  private final Set<Contact> withRuns = new LinkedHashSet<>();
  private final Set<Contact> withoutRuns = new LinkedHashSet<>();
  private int limit = MIN_LIMIT;
  private int inFlight;

  /**
   * Returns whether the first call to a runner may be sent now; {@link #release} must be called
   * when it has completed. Otherwise {@link Contact#call} is called when its turn comes.
   *
   * @param hasRuns whether runs are expected on the runner
   */
  boolean tryAcquire(Contact c, boolean hasRuns) {
    if (inFlight >= limit) {
      (hasRuns ? withRuns : withoutRuns).add(c);
      return false;
    }
    withRuns.remove(c);
    withoutRuns.remove(c);
    inFlight++;
    return true;
  }

  /** Records that a first call has completed after {@code millis}, and lets waiting ones follow. */
  void release(long millis, boolean answered) {
    inFlight--;
    if (answered && millis <= FAST_ANSWER_MILLIS) {
      limit++;
    } else {
      limit = Math.max(MIN_LIMIT, limit * 3 / 4);
    }
    while (inFlight < limit && !(withRuns.isEmpty() && withoutRuns.isEmpty())) {
      poll(withRuns.isEmpty() ? withoutRuns : withRuns).call();
    }
  }

  /** Returns how many runners wait for their first call. */
  int waiting() {
    return withRuns.size() + withoutRuns.size();
  }

  private static Contact poll(Set<Contact> waiting) {
    Iterator<Contact> i = waiting.iterator();
    Contact first = i.next();
    i.remove();
    return first;
  }
}
