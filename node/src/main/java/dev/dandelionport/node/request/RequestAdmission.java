package dev.dandelionport.node.request;

import com.google.common.util.concurrent.AtomicLongMap;
import com.linecorp.armeria.common.HttpStatus;
import java.net.InetAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the requests being served and the body bytes being received. A request over a limit is not
 * read, so it may repeat one whose job runs, and is answered as unknown.
 */
final class RequestAdmission {

  private final RequestLimits limits;
  private final AtomicInteger pending = new AtomicInteger();
  private final AtomicLong receivingBytes = new AtomicLong();
  private final AtomicLongMap<InetAddress> pendingByClient = AtomicLongMap.create();

  RequestAdmission(RequestLimits limits) {
    this.limits = limits;
  }

  /**
   * Admits a request or throws if a limit is exceeded. Each admitted request must be released with
   * {@link #releaseRequest}.
   */
  void admitRequest(InetAddress client) {
    int n = pending.incrementAndGet();
    long c = pendingByClient.incrementAndGet(client);
    if (n > limits.pendingRequests() || c > limits.requestsPerClient()) {
      releaseRequest(client);
      String origin = c > limits.requestsPerClient() ? "from this client " : "";
      throw RequestException.unknown(
          HttpStatus.SERVICE_UNAVAILABLE, "too many requests " + origin + "are being served");
    }
  }

  void releaseRequest(InetAddress client) {
    pending.decrementAndGet();
    pendingByClient.decrementAndGet(client);
    pendingByClient.removeIfZero(client);
  }

  /**
   * Reserves {@code bytes} for a request body or throws if the limit is exceeded. Each reservation
   * must be released with {@link #releaseBody}.
   */
  void reserveBody(long bytes) {
    if (receivingBytes.addAndGet(bytes) > limits.receivingBytes()) {
      receivingBytes.addAndGet(-bytes);
      throw RequestException.unknown(
          HttpStatus.SERVICE_UNAVAILABLE, "too many request bodies are being received");
    }
  }

  void releaseBody(long bytes) {
    receivingBytes.addAndGet(-bytes);
  }

  int pending() {
    return pending.get();
  }
}
