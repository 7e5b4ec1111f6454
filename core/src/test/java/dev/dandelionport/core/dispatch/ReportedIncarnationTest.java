package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReportedIncarnationTest {

  private final ReportedIncarnation reported = new ReportedIncarnation();

  ReportedIncarnationTest() {
    reported.record(1_000, 10);
  }

  // Guards against a delayed report of the earlier incarnation that replaces the current one.
  @Test
  void delayedReportOfEarlierIncarnationIsOutdated() {
    assertThat(reported.record(2_000, 50)).isTrue();
    assertThat(reported.isOutdated(1_000, 40)).isTrue();
    assertThat(reported.isOutdated(2_000, 40)).isFalse();
  }

  // As above; the wall clock was set back between the two, so the earlier one began later by it.
  @Test
  void delayedReportOfEarlierIncarnationWithLaterStartIsOutdated() {
    assertThat(reported.record(500, 50)).isTrue();
    assertThat(reported.isOutdated(1_000, 40)).isTrue();
    assertThat(reported.isOutdated(500, 40)).isFalse();
  }

  // Guards against a runner whose reports are dropped because its wall clock was set back.
  @Test
  void callSentAfterTheCurrentIncarnationWasSeenReachesNoEarlierOne() {
    assertThat(reported.isOutdated(500, 60)).isFalse();
    assertThat(reported.record(500, 70)).isTrue();
    assertThat(reported.isOutdated(1_000, 80)).isFalse();
  }

  // Guards against the first report of a new incarnation that is dropped because its call was sent
  // before the current one was seen.
  @Test
  void newIncarnationMayAnswerCallSentBefore() {
    assertThat(reported.isOutdated(2_000, 5)).isFalse();
  }
}
