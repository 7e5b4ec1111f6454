package dev.dandelionport.node.request;

import com.google.common.util.concurrent.AtomicLongMap;
import com.linecorp.armeria.common.HttpStatus;
import java.net.InetAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts requests and bytes being served and refuses what exceeds the limits. */
final class RequestAdmission {

  private final RequestLimits limits;
  private final AtomicInteger pending = new AtomicInteger();
  private final AtomicLong receivingBytes = new AtomicLong();
  private final AtomicLongMap<InetAddress> pendingByClient = AtomicLongMap.create();

  RequestAdmission(RequestLimits limits) {
    this.limits = limits;
  }

  /** Admits a request; each admitted one must {@link #releaseRequest} later. */
  void admitRequest(InetAddress client) {
    int n = pending.incrementAndGet();
    long c = pendingByClient.incrementAndGet(client);
    if (n > limits.pendingRequests() || c > limits.requestsPerClient()) {
      releaseRequest(client);
      String origin = c > limits.requestsPerClient() ? "from this client " : "";
      throw RequestException.notRun(
          HttpStatus.SERVICE_UNAVAILABLE, "too many requests " + origin + "are being served");
    }
  }

  void releaseRequest(InetAddress client) {
    pending.decrementAndGet();
    pendingByClient.decrementAndGet(client);
    pendingByClient.removeIfZero(client);
  }

  /** Admits a body of {@code bytes}; each admitted one must be {@link #releaseBody} later. */
  void reserveBody(long bytes) {
    if (receivingBytes.addAndGet(bytes) > limits.receivingBytes()) {
      receivingBytes.addAndGet(-bytes);
      throw RequestException.notRun(
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
