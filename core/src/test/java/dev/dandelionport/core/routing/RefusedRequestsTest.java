package dev.dandelionport.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.routing.RefusedRequests.Decision;
import dev.dandelionport.core.testing.FakeProcess;
import dev.dandelionport.core.testing.VirtualTime;
import org.junit.jupiter.api.Test;

/**
 * Fails if a refusal is dropped while copies of the request may be in flight. Such a copy would
 * then be accepted although the caller was answered that the job did not run.
 */
class RefusedRequestsTest {

  private final VirtualTime time = new VirtualTime(1);
  private final FakeProcess owner = new FakeProcess(time);

  private static JobKey job(int i) {
    return new JobKey(new TeamId("team"), "k" + i);
  }

  private long notAfter() {
    return owner.monotonicNanos() + RefusedRequests.COPY_LIFETIME_MILLIS * 1_000_000;
  }

  /**
   * Fails if a copy that is older than the refusal is accepted, or if the refusal also applies to
   * other jobs or to a new request for the same job.
   */
  @Test
  void olderCopiesStayRefusedAndNewerOnesAreAccepted() {
    RefusedRequests refused = new RefusedRequests(owner, true);
    time.runFor(1);
    final long older = notAfter();
    time.runFor(10);
    refused.refuse(job(1));
    time.runFor(10);
    assertThat(refused.check(job(1), older, true)).isEqualTo(Decision.REFUSED);
    assertThat(refused.check(job(2), older, true)).isEqualTo(Decision.ACCEPT);
    assertThat(refused.check(job(1), notAfter(), true)).isEqualTo(Decision.ACCEPT);
    time.runFor(RefusedRequests.COPY_LIFETIME_MILLIS);
    assertThat(refused.check(job(2), older, true)).isEqualTo(Decision.EXPIRED);
  }

  /**
   * Fails if old copies are accepted after their refusal was dropped because the limit was reached.
   * Every copy as old as a dropped refusal must expire instead, whatever its job.
   */
  @Test
  void refusalsBeyondTheLimitExpireAllCopiesOfTheSameAge() {
    RefusedRequests refused = new RefusedRequests(owner, true, 3);
    time.runFor(1);
    final long older = notAfter();
    for (int i = 0; i < 5; i++) {
      time.runFor(10);
      refused.refuse(job(i));
    }
    assertThat(refused.size()).isEqualTo(3);
    assertThat(refused.check(job(0), older, true)).isEqualTo(Decision.EXPIRED);
    assertThat(refused.check(job(9), older, true)).isEqualTo(Decision.EXPIRED);
    assertThat(refused.check(job(4), older, true)).isEqualTo(Decision.REFUSED);
    assertThat(refused.check(job(9), older, false)).isEqualTo(Decision.ACCEPT);
    time.runFor(10);
    assertThat(refused.check(job(0), notAfter(), true)).isEqualTo(Decision.ACCEPT);
    time.runFor(RefusedRequests.COPY_LIFETIME_MILLIS);
    refused.refuse(job(6));
    assertThat(refused.size()).isEqualTo(1);
  }

  /**
   * Fails if a new owner accepts a copy that the previous owner may have refused. The new owner has
   * no record of those refusals.
   */
  @Test
  void newOwnerAcceptsOnlyCopiesMadeAfterItStarted() {
    final long older = notAfter();
    time.runFor(1);
    RefusedRequests refused = new RefusedRequests(owner, false);
    time.runFor(1);
    assertThat(refused.check(job(1), older, true)).isEqualTo(Decision.EXPIRED);
    assertThat(refused.check(job(1), older, false)).isEqualTo(Decision.ACCEPT);
    assertThat(refused.check(job(1), notAfter(), true)).isEqualTo(Decision.ACCEPT);
  }
}
