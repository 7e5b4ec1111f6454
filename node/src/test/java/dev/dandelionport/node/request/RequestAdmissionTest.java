package dev.dandelionport.node.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests the limits on requests being served and body bytes being received. */
class RequestAdmissionTest {

  private static final RequestLimits LIMITS =
      new RequestLimits(1_024, 512, 1_024, 10, 1_000, 100, 5, 3, 1_000);
  private static final InetAddress CLIENT_A = InetAddress.getLoopbackAddress();
  private static final InetAddress CLIENT_B = address(2);

  private final RequestAdmission admission = new RequestAdmission(LIMITS);

  private static InetAddress address(int last) {
    try {
      return InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) last});
    } catch (java.net.UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Also guards against {@code not_run} for a repeated request whose job runs. */
  private static void assertRefused(Runnable call, String message) {
    RequestException e = catchThrowableOfType(RequestException.class, call::run);
    assertThat(e.code() + " " + e.getMessage()).startsWith("unknown " + message);
    assertThat(e.status().code()).isEqualTo(503);
    assertThat(e.mayRetry()).isTrue();
  }

  private void admitRequests(InetAddress client, int times) {
    for (int i = 0; i < times; i++) {
      admission.admitRequest(client);
    }
  }

  /**
   * Guards against one client that uses up the limit for all clients, and against rejected requests
   * that stay counted.
   */
  @Test
  void requestsPerClientAreLimitedAndRefusalsAreNotCounted() {
    admitRequests(CLIENT_A, 3);
    for (int i = 0; i < 100; i++) {
      assertRefused(() -> admission.admitRequest(CLIENT_A), "too many requests from this client");
    }
    assertThat(admission.pending()).isEqualTo(3);
    admitRequests(CLIENT_B, 2);
    assertRefused(() -> admission.admitRequest(CLIENT_B), "too many requests are");
    assertThat(admission.pending()).isEqualTo(5);
    admission.releaseRequest(CLIENT_A);
    admission.admitRequest(CLIENT_B);
    assertThat(admission.pending()).isEqualTo(5);
  }

  /**
   * Guards against request bodies that together exceed the limit, and against rejected bodies that
   * stay counted.
   */
  @Test
  void bytesBeingReceivedAreBounded() {
    admission.reserveBody(600);
    assertRefused(() -> admission.reserveBody(401), "too many request bodies");
    admission.reserveBody(400);
    assertRefused(() -> admission.reserveBody(1), "too many request bodies");
    admission.releaseBody(600);
    admission.reserveBody(600);
  }

  /** Guards against lost or double counts when threads admit and release requests concurrently. */
  @Test
  void countsStayExactWithManyThreads() throws InterruptedException {
    AtomicInteger admitted = new AtomicInteger();
    AtomicInteger maxAdmitted = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int t = 0; t < 8; t++) {
      InetAddress client = address(t + 1);
      threads.add(
          new Thread(
              () -> {
                for (int i = 0; i < 20_000; i++) {
                  try {
                    admission.admitRequest(client);
                  } catch (RequestException e) {
                    continue;
                  }
                  maxAdmitted.accumulateAndGet(admitted.incrementAndGet(), Math::max);
                  admitted.decrementAndGet();
                  admission.releaseRequest(client);
                }
              }));
    }
    threads.forEach(Thread::start);
    for (Thread t : threads) {
      t.join();
    }
    assertThat(maxAdmitted.get()).isBetween(1, LIMITS.pendingRequests());
    assertThat(admission.pending()).isZero();
    admitRequests(CLIENT_A, 3);
  }
}
