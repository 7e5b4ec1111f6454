package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RunnerClockTest {

  private final RunnerClock first = new RunnerClock(500_000, 1_000, 1_010);

  // Guards against a lease by a clock that is assumed to have kept time since it was read.
  @Test
  void lowestTimeOfOldReadingIsThatOfSlowestClock() {
    assertThat(first.lowestAt(1_010)).isEqualTo(500_000);
    assertThat(first.lowestAt(51_010)).isEqualTo(549_000);
  }

  @Test
  void clocksThatKeepTimeOrAreSlowAreNotContradicted() {
    assertThat(first.isContradictedBy(new RunnerClock(550_000, 51_000, 51_010))).isFalse();
    assertThat(first.isContradictedBy(new RunnerClock(549_000, 51_000, 51_010))).isFalse();
  }

  // Guards against the clock of a new incarnation that is taken for that of the earlier one.
  @Test
  void clocksThatShowMoreOrLessThanPossibleAreContradicted() {
    assertThat(first.isContradictedBy(new RunnerClock(548_900, 51_000, 51_010))).isTrue();
    assertThat(first.isContradictedBy(new RunnerClock(550_200, 51_000, 51_010))).isTrue();
    assertThat(first.isContradictedBy(new RunnerClock(0, 1_020, 1_030))).isTrue();
  }

  // Guards against an answer that was read late and counts as a sign of life at that time.
  @Test
  void progressOfClockNarrowsTimeOfLateAnswer() {
    RunnerClock late = new RunnerClock(501_001, 1_020, 4_000);
    assertThat(late.narrowedBy(first)).isEqualTo(new RunnerClock(501_001, 2_000, 2_032));
  }
}
