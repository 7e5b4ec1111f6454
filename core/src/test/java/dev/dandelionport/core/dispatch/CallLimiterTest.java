package dev.dandelionport.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.testing.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a new owner on a small machine that asks all runners at once: everything else that
 * the machine has to do, such as a journal write, then waits until all of them have answered.
 */
class CallLimiterTest {

  private static final int MIN_LIMIT = 4;

  /** Interval at which the owner renews its lease, in milliseconds; no work may wait longer. */
  private static final long RENEWAL_MILLIS = 250;

  /** Answers calls one after the other, as a machine with little processor time does. */
  private static final class SlowMachine {
    private final VirtualTime time = new VirtualTime(1);
    private final CallLimiter limiter = new CallLimiter(MIN_LIMIT, MIN_LIMIT);
    private final long callMillis;
    private final List<String> answered = new ArrayList<>();
    private long busyUntilMillis = time.nowMillis();
    private long longestWaitMillis;

    SlowMachine(long callMillis) {
      this.callMillis = callMillis;
    }

    void contact(String runner, boolean hasRuns) {
      CallLimiter.Sender[] self = new CallLimiter.Sender[1];
      self[0] =
          () -> {
            if (limiter.admits(self[0], hasRuns)) {
              limiter.sent();
              send(runner);
            }
          };
      self[0].send();
    }

    private void send(String runner) {
      long sentMillis = time.nowMillis();
      busyUntilMillis = Math.max(busyUntilMillis, sentMillis) + callMillis;
      long waitMillis = busyUntilMillis - sentMillis;
      longestWaitMillis = Math.max(longestWaitMillis, waitMillis);
      time.afterMillis(
          waitMillis,
          () -> {
            answered.add(runner);
            limiter.completed(sentMillis, time.nowMillis(), true);
          });
    }
  }

  @ParameterizedTest
  @CsvSource({"30, 15", "85, 15", "260, 15", "30, 5", "85, 5", "260, 5", "260, 1"})
  void otherWorkWaitsBrieflyWhileAllRunnersAreAskedWithoutPause(int runners, long callMillis) {
    SlowMachine m = new SlowMachine(callMillis);
    final long startMillis = m.time.nowMillis();
    for (int i = 0; i < runners; i++) {
      m.contact("r" + i, false);
    }
    assertThat(m.time.runUntil(() -> m.answered.size() == runners, 2 * runners * callMillis))
        .isTrue();
    // The machine is never idle while runners wait, and work that arrives waits for the calls in
    // flight only.
    assertThat(m.time.nowMillis() - startMillis).isLessThanOrEqualTo(runners * callMillis + 5);
    assertThat(m.longestWaitMillis).isLessThanOrEqualTo(RENEWAL_MILLIS);
  }

  @Test
  void runnersWithRunsToSettleComeFirst() {
    SlowMachine m = new SlowMachine(15);
    for (int i = 0; i < 40; i++) {
      m.contact("idle" + i, false);
    }
    for (int i = 0; i < 4; i++) {
      m.contact("busy" + i, true);
    }
    m.time.runFor(44 * 15 + 5);
    assertThat(m.answered).hasSize(44);
    assertThat(m.answered.subList(0, 12)).contains("busy0", "busy1", "busy2", "busy3");
  }

  @Test
  void runnersThatDoNotAnswerHoldUpNoOther() {
    VirtualTime time = new VirtualTime(1);
    CallLimiter limiter = new CallLimiter(MIN_LIMIT, MIN_LIMIT);
    List<Integer> called = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      int runner = i;
      CallLimiter.Sender[] self = new CallLimiter.Sender[1];
      self[0] =
          () -> {
            if (limiter.admits(self[0], false)) {
              limiter.sent();
              called.add(runner);
              long sent = time.nowMillis();
              time.afterMillis(400, () -> limiter.completed(sent, time.nowMillis(), false));
            }
          };
      self[0].send();
    }
    time.runFor(20 / MIN_LIMIT * 400);
    assertThat(called).hasSize(20);
    assertThat(limiter.waiting()).isZero();
  }

  // Calls to runners that have lost power must not slow down those to others.
  @Test
  void limitStaysWhileOtherRunnersAnswerFast() {
    CallLimiter limiter = new CallLimiter(MIN_LIMIT, 64);
    for (int i = 0; i < 100; i++) {
      limiter.sent();
      limiter.sent();
      limiter.completed(300 * i, 300 * i + 2, true);
      limiter.completed(300 * i, 300 * i + 300, false);
    }
    assertThat(limiter.limit()).isGreaterThanOrEqualTo(64);
  }

  // Without any answer the machine itself is the likely cause, so fewer calls are sent.
  @Test
  void limitFallsWhileNothingIsAnswered() {
    CallLimiter limiter = new CallLimiter(MIN_LIMIT, 64);
    for (int i = 0; i < 20; i++) {
      limiter.sent();
      limiter.completed(300 * i, 300 * i + 300, false);
    }
    assertThat(limiter.limit()).isEqualTo(MIN_LIMIT);
  }
}
