package dev.dandelionport.core.dispatch;

import java.util.Random;

/** Random faults of the messages between instances; without fractions there are none. */
final class MessageFaults {

  private static final int MAX_DELAY_MILLIS = 3_000;

  private final Random random;

  /** Fraction of handled messages whose answers are lost. */
  double lostAnswerFraction;

  /** Fraction of messages that arrive late, often after the sender's timeout. */
  double lateFraction;

  MessageFaults(long seed) {
    random = new Random(seed);
  }

  /** Returns whether the answer to a message is lost. */
  boolean losesAnswer() {
    return lostAnswerFraction > 0 && random.nextDouble() < lostAnswerFraction;
  }

  /** Returns the additional delay of a message, in milliseconds. */
  long delayMillis() {
    boolean late = lateFraction > 0 && random.nextDouble() < lateFraction;
    return late ? random.nextInt(MAX_DELAY_MILLIS) : 0;
  }
}
