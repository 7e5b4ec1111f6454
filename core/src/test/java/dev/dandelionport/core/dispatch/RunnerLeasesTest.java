package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.dispatch.RunnerLeases.Expiry;
import dev.dandelionport.core.dispatch.RunnerLeases.Grant;
import dev.dandelionport.core.port.RunnerClient;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

class RunnerLeasesTest {

  /** Time until a lease of 5 s has expired on the slowest clock, in milliseconds. */
  private static final long LEASE_MILLIS = 5_352;

  /** The same for the longest lease that a runner grants. */
  private static final long LONGEST_LEASE_MILLIS = 6_372;

  private final VirtualTime time = new VirtualTime(1);
  private final DispatchContext context = StoreContext.of(null, new FakeProcess(time));
  private final RunnerLeases leases = new RunnerLeases(context, context.nowMillis());

  private void readClock(long clockMillis, long callMillis) {
    long sentMillis = context.nowMillis();
    time.runFor(callMillis);
    leases.updateClock(clockMillis, sentMillis);
  }

  // Guards against a lease by the clock of an incarnation that has ended, when answers of both have
  // overtaken each other. Whether the new clock shows more or less does not tell which one it is.
  @Test
  void disagreeingReadingsOfOverlappingCallsGrantNothingUntilLaterCall() {
    readClock(100_000, 2);
    assertThat(leases.isClockOutdated()).isFalse();
    long sentMillis = context.nowMillis() - 1;
    leases.updateClock(700_000, sentMillis);
    assertThat(leases.isClockOutdated()).isTrue();
    time.runFor(10);
    readClock(700_012, 2);
    assertThat(leases.isClockOutdated()).isFalse();
    assertThat(leases.extend().untilMillis()).isBetween(705_009L, 705_012L);
  }

  // Guards against the end of a run that the runner has not confirmed while the longest lease that
  // an incarnation with another clock may have granted to it is still valid.
  @Test
  void leaseOfCallWithoutAnswerExpiresLaterForUnconfirmedRuns() {
    readClock(100_000, 0);
    Grant g = leases.extend();
    time.runFor(300);
    leases.completed(g, "r", RunnerClient.NO_TIME);
    time.runFor(LEASE_MILLIS - 300);
    assertThat(leases.takeExpiry()).isEqualTo(Expiry.NONE);
    time.runFor(1);
    assertThat(leases.takeExpiry()).isEqualTo(Expiry.CONFIRMED_RUNS);
    assertThat(leases.takeExpiry()).isEqualTo(Expiry.NONE);
    time.runFor(300 + LONGEST_LEASE_MILLIS - LEASE_MILLIS);
    assertThat(leases.takeExpiry()).isEqualTo(Expiry.ALL_RUNS);
    assertThat(leases.takeExpiry()).isEqualTo(Expiry.NONE);
  }

  // Guards against a lease of the new incarnation that is forgotten because the call that granted
  // it
  // was meant for the earlier one, and failed after the new one had answered.
  @Test
  void leaseOfCallMeantForEarlierIncarnationCountsForConfirmedRuns() {
    readClock(100_000, 0);
    Grant g = leases.extend();
    time.runFor(100);
    readClock(7_000, 0);
    leases.completed(g, "r", RunnerClient.NO_TIME);
    time.runFor(LONGEST_LEASE_MILLIS);
    assertThat(leases.takeExpiry()).isEqualTo(Expiry.NONE);
    time.runFor(1);
    assertThat(leases.takeExpiry()).isEqualTo(Expiry.ALL_RUNS);
  }

  // Guards against a wait for the longest lease when the answer shows that a shorter one was
  // granted, and the reverse.
  @Test
  void clockInAnswerTellsForHowLongLeaseWasGranted() {
    readClock(100_000, 0);
    leases.completed(leases.extend(), "r", 100_000);
    time.runFor(LEASE_MILLIS + 1);
    assertThat(leases.takeExpiry()).isEqualTo(Expiry.ALL_RUNS);
    readClock(105_353, 0);
    leases.completed(leases.extend(), "r", 3_000);
    time.runFor(LONGEST_LEASE_MILLIS);
    assertThat(leases.takeExpiry()).isEqualTo(Expiry.NONE);
    time.runFor(1);
    assertThat(leases.takeExpiry()).isEqualTo(Expiry.ALL_RUNS);
  }
}
