package dev.dandelionport.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.TimeSource;
import org.junit.jupiter.api.Test;

class AuthorityTest {

  private static final long MILLI = 1_000_000;

  private long nowNanos;

  private final TimeSource time =
      new TimeSource() {
        @Override
        public long wallMillis() {
          return 0;
        }

        @Override
        public long monotonicNanos() {
          return nowNanos;
        }
      };

  /**
   * Fails if an instance still holds authority when its lease may have expired, for example after a
   * long pause of the process.
   */
  @Test
  void authorityEndsBeforeTheLeaseCanExpire() {
    Authority a = new Authority(time);
    a.extendAfterRenewal(nowNanos);
    nowNanos += (Authority.LEASE_MILLIS - Authority.SAFETY_MARGIN_MILLIS - 1) * MILLI;
    assertThat(a.isHeld()).isTrue();
    nowNanos += MILLI;
    assertThat(a.isHeld()).isFalse();
    assertThat(a.remainingMillis()).isZero();
  }

  /**
   * Fails if the late reply to an earlier renewal shortens the authority gained by a later renewal.
   */
  @Test
  void earlierRenewalDoesNotShortenAuthority() {
    Authority a = new Authority(time);
    nowNanos = 500 * MILLI;
    a.extendAfterRenewal(nowNanos);
    a.extendAfterRenewal(0);
    assertThat(a.remainingMillis())
        .isEqualTo(Authority.LEASE_MILLIS - Authority.SAFETY_MARGIN_MILLIS);
  }
}
