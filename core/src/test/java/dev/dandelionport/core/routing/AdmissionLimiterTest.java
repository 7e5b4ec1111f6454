package dev.dandelionport.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.TimeSource;
import org.junit.jupiter.api.Test;

/** Checks the admission limit of a team. */
class AdmissionLimiterTest {

  /** A clock that the test sets explicitly. */
  private static final class Clock implements TimeSource {
    private long nanos;

    @Override
    public long wallMillis() {
      return 0;
    }

    @Override
    public long monotonicNanos() {
      return nanos;
    }
  }

  private final Clock clock = new Clock();
  private final AdmissionLimiter limiter = new AdmissionLimiter(clock);

  @Test
  public void admittedRequestsStayWithinTheTeamLimit() {
    // Fails if the bucket refills too fast and admits more than the limit of 100 requests per
    // second plus one full bucket.
    int admitted = 0;
    for (int milli = 0; milli < 10_000; milli++) {
      clock.nanos = milli * 1_000_000L;
      for (int i = 0; i < 5; i++) {
        admitted += limiter.admit(new TeamId("team"), 100) ? 1 : 0;
      }
    }
    assertThat(admitted).isBetween(1_090, 1_100);
    assertThat(limiter.admit(new TeamId("other"), 0)).isFalse();
  }
}
