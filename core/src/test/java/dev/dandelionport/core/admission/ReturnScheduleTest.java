package dev.dandelionport.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.admission.ReturnSchedule.Caller;
import dev.dandelionport.core.admission.ReturnSchedule.Need;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the times at which refused callers return. */
class ReturnScheduleTest {

  private static final long NOW = 100_000;

  private final ReturnSchedule schedule = new ReturnSchedule();

  private static Caller caller(String id) {
    return new Caller("q", "a", id);
  }

  private long refuse(String id, RefusalReason reason, double poolMillis, long earliest, long now) {
    return schedule
        .refuse(caller(id), reason, new Need("pool", poolMillis, earliest), now)
        .returnMillis();
  }

  private long refuse(String id, double poolMillis) {
    return refuse(id, RefusalReason.POOL_FULL, poolMillis, NOW + 5_000, NOW);
  }

  @Test
  void callersAreSpreadOverTheCapacity() {
    // Guards against sending all callers of a burst back at the same time.
    assertThat(refuse("w0", 75)).isEqualTo(NOW + 5_000);
    assertThat(refuse("w1", 75)).isEqualTo(NOW + 5_100);
    assertThat(refuse("w2", 150)).isEqualTo(NOW + 5_200);
    assertThat(refuse("w3", 40)).isEqualTo(NOW + 5_400);
    assertThat(refuse("w4", 35)).isEqualTo(NOW + 5_400);
    assertThat(refuse("w5", 1)).isEqualTo(NOW + 5_500);
  }

  @Test
  void noCapacityIsPromisedTwice() {
    // Guards against slots that are promised beyond their length, also after returns.
    Random random = new Random(1);
    Map<String, Long> returns = new HashMap<>();
    for (long now = NOW; now < NOW + 40_000; now += 50) {
      String id = "w" + random.nextInt(300);
      Long time = returns.get(id);
      if (time == null || now >= time) {
        RefusalReason reason =
            random.nextBoolean() ? RefusalReason.POOL_FULL : RefusalReason.OVER_SHARE;
        long earliest = now + random.nextInt(8_000);
        returns.put(id, refuse(id, reason, 200 * random.nextDouble(), earliest, now));
      }
      for (long slot = now / 100; slot <= now / 100 + 300; slot++) {
        assertThat(schedule.promisedMillis("pool", slot)).isBetween(-1e-6, 100 + 1e-6);
      }
    }
  }

  @Test
  void earlyCallerGetsTheSameTimeAgain() {
    // Guards against a second promise for a caller that does not wait.
    long time = refuse("w", 75);
    Refusal early = schedule.earlyRefusal(caller("w"), time - 1).orElseThrow();
    assertThat(early).isEqualTo(new Refusal(RefusalReason.POOL_FULL, time, true));
    assertThat(refuse("next", 75)).isEqualTo(time + 100);
  }

  @Test
  void callerThatReturnsInTimeGoesBeforeOneThatCameEarly() {
    // Guards against rewarding callers that do not wait for their time.
    long first = refuse("first", 75);
    refuse("second", 75);
    assertThat(schedule.earlyRefusal(caller("second"), first)).isPresent();
    assertThat(schedule.earlyRefusal(caller("first"), first)).isEmpty();
  }

  @Test
  void callerRefusedBeforeFindsAnEarlierTimeThanNewOnes() {
    // Guards against callers that are refused again and again while new ones get the capacity.
    long returned = refuse("old", RefusalReason.POOL_FULL, 20, NOW, NOW);
    for (int i = 0; i < 30; i++) {
      refuse("new" + i, RefusalReason.POOL_FULL, 75, returned, returned);
    }
    long newcomer = refuse("newcomer", RefusalReason.POOL_FULL, 20, returned, returned);
    long again = refuse("old", RefusalReason.POOL_FULL, 20, returned, returned);
    assertThat(again).isEqualTo(returned + ReturnSchedule.MIN_MILLIS);
    assertThat(newcomer).isGreaterThan(again + 2_000);
  }

  @Test
  void accountOverShareFindsLaterTimeThanOthers() {
    // Guards against an account with much load that takes all promised capacity.
    for (int i = 0; i < 10; i++) {
      refuse("hot" + i, RefusalReason.OVER_SHARE, 50, NOW + 5_000, NOW);
    }
    assertThat(refuse("hot", RefusalReason.OVER_SHARE, 20, NOW + 5_000, NOW))
        .isEqualTo(NOW + 6_000);
    assertThat(refuse("other", 20)).isEqualTo(NOW + 5_000);
  }

  @Test
  void timesAreBetweenOneAndThirtySeconds() {
    // Guards against a time before a delayed copy of the refused call may have arrived, and against
    // callers that are sent away for longer than the limit.
    assertThat(refuse("soon", RefusalReason.POOL_FULL, 1, NOW - 5_000, NOW)).isEqualTo(NOW + 1_000);
    assertThat(refuse("late", RefusalReason.POOL_FULL, 1, NOW + 90_000, NOW))
        .isEqualTo(NOW + 30_000);
    assertThat(refuse("huge", RefusalReason.POOL_FULL, 1e9, NOW, NOW)).isEqualTo(NOW + 30_000);
    assertThat(refuse("next", RefusalReason.POOL_FULL, 1, NOW, NOW)).isEqualTo(NOW + 1_000);
  }

  @Test
  void entryIsDroppedTenSecondsAfterItsTime() {
    // Guards against memory held for callers that never return.
    long time = refuse("w", 10);
    assertThat(schedule.earlyRefusal(caller("other"), time + 10_000)).isEmpty();
    assertThat(schedule.size()).isEqualTo(1);
    assertThat(schedule.earlyRefusal(caller("other"), time + 10_001)).isEmpty();
    assertThat(schedule.size()).isZero();
  }

  @Test
  void oldestEntriesAreEvictedAndCountAsNew() {
    // Guards against unbounded memory, and against promises that stay taken after an eviction.
    ReturnSchedule small = new ReturnSchedule(2);
    Need need = new Need("pool", 75, NOW + 5_000);
    for (int i = 0; i < 3; i++) {
      small.refuse(caller("w" + i), RefusalReason.POOL_FULL, need, NOW);
    }
    assertThat(small.size()).isEqualTo(2);
    assertThat(small.earlyRefusal(caller("w0"), NOW + 1)).isEmpty();
    assertThat(small.promisedMillis("pool", (NOW + 5_000) / 100)).isZero();
  }

  @Test
  void sameIdOfAnotherAccountIsAnotherCaller() {
    // Guards against one account that keeps another from submitting an id.
    long time = refuse("w", 75);
    assertThat(schedule.earlyRefusal(new Caller("q", "b", "w"), time - 1)).isEmpty();
  }
}
