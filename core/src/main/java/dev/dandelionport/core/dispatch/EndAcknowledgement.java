package dev.dandelionport.core.dispatch;

/**
 * Tracks up to which number the ended runs of one incarnation of a runner were reported, are
 * durable and were acknowledged. Guarded by the owner's shard.
 */
final class EndAcknowledgement {

  private long reportedNumber;
  private long durableNumber;

  /**
   * Whether the runner may not have received {@link #durableNumber}. The number is sent only while
   * this is set, because a new incarnation of the runner would apply it to its own ends.
   */
  private boolean due;

  /** Forgets the ends of the previous incarnation. */
  void reset() {
    reportedNumber = 0;
    durableNumber = 0;
    due = false;
  }

  /**
   * Records the highest number of an end in a report. A runner that lists an end which is durable
   * is told again.
   */
  void reported(long number) {
    reportedNumber = Math.max(reportedNumber, number);
    due |= number <= durableNumber;
  }

  /** Records that all ends up to a number are durable. */
  void durable(long number) {
    durableNumber = Math.max(durableNumber, number);
    due = true;
  }

  /** Records that the runner has answered a call that acknowledged the ends up to a number. */
  void acknowledged(long number) {
    if (number == durableNumber && number > 0) {
      due = false;
    }
  }

  /** Returns whether the runner has reported ends whose records are not durable yet. */
  boolean awaitsJournal() {
    return reportedNumber > durableNumber;
  }

  /** Returns whether an acknowledgement must be sent. */
  boolean isDue() {
    return due;
  }

  /** Returns the highest number of a reported end. */
  long reportedNumber() {
    return reportedNumber;
  }

  /** Returns the number to acknowledge, 0 for none. */
  long numberToSend() {
    return due ? durableNumber : 0;
  }
}
