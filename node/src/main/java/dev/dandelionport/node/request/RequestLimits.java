package dev.dandelionport.node.request;

/**
 * Limits on the resources that callers can occupy in an instance. They do not depend on the size of
 * the heap.
 *
 * @param bodyBytes largest request body, in bytes
 * @param requestLineBytes longest request line, in bytes
 * @param headerBytes largest set of request headers, in bytes
 * @param connections maximum number of connections of callers
 * @param idleMillis time after which an idle connection is closed, in milliseconds
 * @param receiveMillis timeout for receiving a request, in milliseconds
 * @param pendingRequests maximum number of requests being served
 * @param requestsPerClient maximum number of requests being served for one client address
 * @param receivingBytes maximum total size of the bodies being received, in bytes
 */
public record RequestLimits(
    int bodyBytes,
    int requestLineBytes,
    int headerBytes,
    int connections,
    long idleMillis,
    long receiveMillis,
    int pendingRequests,
    int requestsPerClient,
    long receivingBytes) {

  /** Default limits, for an instance with 96 MB of heap. */
  public static final RequestLimits DEFAULT =
      new RequestLimits(256 << 10, 4_096, 8_192, 2_000, 60_000, 10_000, 4_000, 4_000, 16L << 20);
}
