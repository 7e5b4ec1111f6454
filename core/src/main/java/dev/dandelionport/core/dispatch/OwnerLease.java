package dev.dandelionport.core.dispatch;

/**
 * Time until which the owner's lease in the store is certainly valid, judged by the clocks of this
 * machine. The monotonic clock stops while a machine is suspended and the wall clock may be set
 * back, so the lease counts as expired as soon as either of them has passed its deadline. Guarded
 * by the instance's shard.
 */
final class OwnerLease {

  /** Time at which a store call that may extend the lease was sent, on both clocks. */
  record CallTime(long monotonicMillis, long wallMillis) {

    static CallTime now(DispatchContext context) {
      return new CallTime(context.nowMillis(), context.time().wallMillis());
    }
  }

  private final DispatchContext context;
  private long monotonicDeadlineMillis = Long.MIN_VALUE;
  private long wallDeadlineMillis = Long.MIN_VALUE;
  private CallTime confirmed = new CallTime(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

  OwnerLease(DispatchContext context) {
    this.context = context;
  }

  /** Starts a new lease that a call sent at {@code sent} has granted. */
  void grant(CallTime sent, long ttlMillis) {
    monotonicDeadlineMillis = sent.monotonicMillis() + ttlMillis;
    wallDeadlineMillis = sent.wallMillis() + ttlMillis;
    confirmed = sent;
  }

  /** Extends the lease after a renewal that was sent at {@code sent}. */
  void extend(CallTime sent, long ttlMillis) {
    if (sent.monotonicMillis() + ttlMillis > monotonicDeadlineMillis) {
      grant(sent, ttlMillis);
    }
  }

  /**
   * Returns the time since the call that granted or last extended the lease was sent, in
   * milliseconds, by the clock that has advanced more.
   */
  long confirmedAgeMillis() {
    CallTime now = CallTime.now(context);
    return Math.max(
        now.monotonicMillis() - confirmed.monotonicMillis(),
        now.wallMillis() - confirmed.wallMillis());
  }

  /** Returns whether the lease cannot have expired in the store yet. */
  boolean isValid() {
    return context.nowMillis() < monotonicDeadlineMillis
        && context.time().wallMillis() < wallDeadlineMillis;
  }
}
