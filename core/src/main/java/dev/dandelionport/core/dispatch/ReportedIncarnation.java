package dev.dandelionport.core.dispatch;

/**
 * Tells which reports of a runner come from its current incarnation, and which from an earlier one
 * although they are read later. The start of an incarnation is a time of the runner's wall clock,
 * which may be set back between two of them. Guarded by the owner's shard.
 */
final class ReportedIncarnation {

  private long current;

  /** Incarnation that the current one has replaced; 0 for none. */
  private long previous;

  /** When the current incarnation first reported, on the monotonic clock. */
  private long seenMillis;

  /** Returns the start of the current incarnation, milliseconds since 1970; 0 for none. */
  long current() {
    return current;
  }

  /**
   * Returns whether a report is a delayed one of an earlier incarnation. Only the current one, or a
   * later one, answers calls that were sent after the current one was first seen.
   *
   * @param startMillis start of the incarnation that reports
   * @param sentMillis when the call was sent, on the monotonic clock
   */
  boolean isOutdated(long startMillis, long sentMillis) {
    boolean mayBeEarlier = sentMillis <= seenMillis;
    return mayBeEarlier && (startMillis < current || startMillis == previous);
  }

  /** Records a report that is not outdated. Returns whether it is the first of its incarnation. */
  boolean record(long startMillis, long nowMillis) {
    if (startMillis == current) {
      return false;
    }
    previous = current;
    current = startMillis;
    seenMillis = nowMillis;
    return true;
  }
}
