package dev.dandelionport.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Tests the forecast for a pool of 100 cores and a submission that is due after 10 s and of no use
 * after 30 s. It needs 1 s, so its latest useful start is after 29 s; runs in progress add 1 s.
 */
class ForecastTest {

  private static final long NOW = 50_000;
  private static final ResourceVector CORE = cores(1_000);
  private static final CapacityUse FULL = new CapacityUse(cores(100_000), true);
  private static final CapacityUse NO_QUOTA = new CapacityUse(ResourceVector.ZERO, false);

  private final Backlog backlog = new Backlog(NOW);
  private Map<String, ResourceVector> quotas = Map.of();

  private static ResourceVector cores(long milliCores) {
    return new ResourceVector(0, 0, milliCores, 0, 0);
  }

  private static Demand demand(int priority) {
    Work work = Work.of(CORE, 1_000);
    return new Demand("a", priority, CORE, NOW + 10_000, NOW + 30_000, 1_000, work);
  }

  /** Adds waiting tasks of one core and 1 s each. */
  private void addWaiting(int tasks, String account, int priority, boolean over, long dueMillis) {
    backlog.addWaiting(
        new Backlog.Waiting(
            account, priority, over, NOW + dueMillis, NOW + dueMillis, NOW + 3 * dueMillis),
        CORE.times(tasks),
        1_000,
        1_500);
  }

  private Optional<RefusalReason> check(CapacityUse pool, CapacityUse quota, boolean over) {
    return Forecast.reasonTooLate(
        demand(2), pool, quota, backlog, a -> quotas.getOrDefault(a, ResourceVector.ZERO), over);
  }

  @Test
  void workAheadThatFillsThePoolUntilItIsTooLateIsCertain() {
    // Guards against accepting what ends too late even in the best case, and against counting one
    // task too much.
    addWaiting(3_000, "b", 1, false, 20_000);
    assertThat(check(FULL, NO_QUOTA, false)).isEmpty();
    addWaiting(1, "b", 1, false, 20_000);
    assertThat(check(FULL, NO_QUOTA, false)).contains(RefusalReason.POOL_FULL);
  }

  @Test
  void workThatTheSubmissionOvertakesIsNotAhead() {
    // Guards against refusing for work that is late before the submission is, that is of the same
    // priority, or that ranks behind.
    addWaiting(9_000, "b", 1, false, 9_000);
    addWaiting(9_000, "b", 2, false, 9_000);
    addWaiting(9_000, "b", 3, false, 20_000);
    addWaiting(9_000, "b", 0, true, 9_000);
    assertThat(check(FULL, NO_QUOTA, false)).isEmpty();
  }

  @Test
  void poolThatIsNotFullRefusesNothing() {
    // Guards against refusals while waiting work waits for something other than capacity.
    addWaiting(9_000, "b", 1, false, 20_000);
    CapacityUse withRoom = CapacityUse.of(cores(100_000), 11, 100);
    assertThat(check(withRoom, NO_QUOTA, true)).isEmpty();
    CapacityUse full = CapacityUse.of(cores(100_000), 10, 100);
    assertThat(check(full, NO_QUOTA, false)).contains(RefusalReason.POOL_FULL);
  }

  @Test
  void accountOverItsShareIsRefusedForWorkOfOthersInTime() {
    // Guards against a 503 where the only reason is the account's own load, and the other way
    // round.
    addWaiting(3_001, "b", 2, false, 11_000);
    assertThat(check(FULL, NO_QUOTA, false)).isEmpty();
    assertThat(check(FULL, NO_QUOTA, true)).contains(RefusalReason.OVER_SHARE);
    addWaiting(3_001, "b", 1, false, 11_000);
    assertThat(check(FULL, NO_QUOTA, true)).contains(RefusalReason.POOL_FULL);
  }

  @Test
  void earlierWorkOverItsShareIsAheadOfLaterSuchWork() {
    // Guards against an endless queue of an account that sends several times its share.
    addWaiting(3_001, "a", 2, true, 9_000);
    assertThat(check(FULL, NO_QUOTA, false)).isEmpty();
    assertThat(check(FULL, NO_QUOTA, true)).contains(RefusalReason.OVER_SHARE);
  }

  @Test
  void laterWorkOverItsShareIsNotAhead() {
    // Guards against refusing a submission for work that is due after it.
    addWaiting(9_000, "a", 2, true, 10_001);
    assertThat(check(FULL, NO_QUOTA, true)).isEmpty();
  }

  @Test
  void backlogOfAnAccountAtItsQuotaDoesNotFillThePool() {
    // Guards against refusing others for work that its own quota holds back.
    quotas = Map.of("b", cores(50_000));
    addWaiting(90_000, "b", 1, false, 20_000);
    assertThat(check(FULL, NO_QUOTA, false)).isEmpty();
    addWaiting(1_501, "c", 1, false, 20_000);
    assertThat(check(FULL, NO_QUOTA, false)).contains(RefusalReason.POOL_FULL);
  }

  @Test
  void quotaThatOwnWorkUsesForTooLongIsCertain() {
    // Guards against accepting work that its account's quota holds back until it is of no use.
    CapacityUse quota = new CapacityUse(cores(10_000), true);
    addWaiting(301, "a", 1, false, 20_000);
    assertThat(check(FULL, quota, false)).contains(RefusalReason.QUOTA_FULL);
  }

  @Test
  void unmeasuredQueuesCountAsNoWork() {
    // Guards against a forecast from stated estimates alone.
    backlog.addWaiting(
        new Backlog.Waiting("b", 1, false, NOW + 20_000, NOW + 20_000, NOW + 60_000),
        CORE.times(90_000),
        0,
        1_500);
    assertThat(check(FULL, NO_QUOTA, false)).isEmpty();
  }
}
