package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PassPacerTest {

  private static final long START_MILLIS = 1_000;

  /**
   * Returns when the pass after one of the given duration may start, after the first one's start.
   */
  private static long intervalMillis(long durationMillis) {
    PassPacer p = new PassPacer();
    p.passed(
        TimeUnit.MILLISECONDS.toNanos(START_MILLIS),
        TimeUnit.MILLISECONDS.toNanos(START_MILLIS + durationMillis));
    return p.delayMillis(START_MILLIS);
  }

  // A pass during which the process was not scheduled for 621 ms kept all tasks waiting for 5 s.
  @Test
  void interruptedPassDoesNotDelayTheNextOneForSeconds() {
    assertThat(intervalMillis(621)).isEqualTo(PassPacer.MAX_INTERVAL_MILLIS);
  }

  @Test
  void passesTakeOneEighthOfTheTime() {
    assertThat(intervalMillis(20)).isEqualTo(160);
    assertThat(intervalMillis(0)).isEqualTo(4);
  }

  @Test
  void firstPassStartsImmediately() {
    assertThat(new PassPacer().delayMillis(START_MILLIS)).isZero();
  }
}
