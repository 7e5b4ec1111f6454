package dev.dandelionport.node.connection;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryBuilder;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.client.WebClientRequestPreparation;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.Flags;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.util.TransportType;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import jdk.net.ExtendedSocketOptions;

/**
 * Pooled HTTP/1.1 connections to a service of the platform. HTTP/1.1 is used because a request that
 * times out then closes its own connection, where HTTP/2 would keep sending others through a
 * connection that has gone silent. Where {@code replacesAll} is set, a timeout also replaces all
 * other pooled connections, since connections that went silent usually did so together.
 */
public final class HttpPool implements AutoCloseable {

  private static final long CONNECT_MILLIS = 500;

  /** Longest time that a connection without a request is kept, in milliseconds. */
  private static final long IDLE_MILLIS = 8_000;

  /**
   * Seconds without traffic after which the kernel probes a connection, and between probes. A
   * connection whose other end or path has vanished fails after 20 s and not at the end of a long
   * poll.
   */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 11;

  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 3;

  /** Probes without an answer after which a connection fails. */
  private static final int KEEP_ALIVE_PROBES = 3;

  /** Replaces the HTTP library's name and version, which take 15 bytes more in each request. */
  private static final String USER_AGENT = "dp";

  /** Time that calls under way get before replaced connections are closed, in milliseconds. */
  private static final long CLOSE_DELAY_MILLIS = 1_000;

  /** Shortest time between two replacements, in milliseconds. */
  private static final long MIN_REPLACE_INTERVAL_MILLIS = 500;

  /** Interval at which the TLS files are looked at, in milliseconds. */
  private static final long TLS_CHECK_MILLIS = 1_000;

  private record Generation(ClientFactory factory, WebClient client, List<FileTime> tlsFileTimes) {}

  private final String url;
  private final long maxAnswerBytes;
  private final boolean replaceAllOnTimeout;
  private final TlsFiles tls;
  private final AtomicLong lastTlsCheckNanos = new AtomicLong(System.nanoTime());
  private long lastReplacedNanos = System.nanoTime();
  private volatile Generation current;

  /**
   * Creates a pool.
   *
   * @param url base URL, or empty for requests with whole URLs
   * @param maxAnswerBytes largest answer that is read
   * @param replaceAllOnTimeout whether a timeout replaces all connections
   * @param tls files for TLS; null for the authorities that the virtual machine trusts
   */
  public HttpPool(String url, long maxAnswerBytes, boolean replaceAllOnTimeout, TlsFiles tls) {
    this.url = url;
    this.maxAnswerBytes = maxAnswerBytes;
    this.replaceAllOnTimeout = replaceAllOnTimeout;
    this.tls = tls;
    try {
      this.current = createGeneration();
    } catch (IOException | RuntimeException e) {
      throw new TlsException("cannot read TLS files " + tls, e);
    }
  }

  /** Returns a URL that makes the client use HTTP/1.1. */
  static String http1(String url) {
    return url.replaceFirst("^http://", "h1c://").replaceFirst("^https://", "h1://");
  }

  private Generation createGeneration() throws IOException {
    ClientFactoryBuilder fb =
        ClientFactory.builder()
            .connectTimeoutMillis(CONNECT_MILLIS)
            .idleTimeoutMillis(IDLE_MILLIS)
            .channelOption(ChannelOption.SO_KEEPALIVE, true)
            .channelOption(ChannelOption.WRITE_BUFFER_WATER_MARK, TcpPeerClient.WRITE_BUFFER);
    if (Flags.transportType() == TransportType.NIO) {
      // The options of the other transports differ, and they are not used by bin/dandelionport.
      fb.channelOption(
              NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
          .channelOption(
              NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
              KEEP_ALIVE_INTERVAL_SECONDS)
          .channelOption(
              NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
    }
    List<FileTime> times = tls == null ? List.of() : tls.modificationTimes();
    if (tls != null) {
      fb.tlsCustomizer(this::configureTls);
    }
    ClientFactory factory = fb.build();
    WebClient client =
        (url.isEmpty() ? WebClient.builder() : WebClient.builder(http1(url)))
            .factory(factory)
            .setHeader(HttpHeaderNames.USER_AGENT, USER_AGENT)
            .maxResponseLength(maxAnswerBytes)
            .build();
    return new Generation(factory, client, times);
  }

  private void configureTls(SslContextBuilder b) {
    b.trustManager(tls.trusted().toFile());
    if (tls.hasCertificate()) {
      b.keyManager(tls.certificateChain().toFile(), tls.privateKey().toFile());
    }
  }

  /** Returns the client to use for the next request. */
  public WebClient client() {
    reloadTls();
    return current.client();
  }

  /**
   * Sends a request and returns its whole answer. The future fails with the HTTP library's error if
   * there was none; connections that are to be replaced after it are replaced by then.
   *
   * @param request method, path and content
   * @param timeoutMillis longest time until the answer is whole
   */
  public CompletableFuture<AggregatedHttpResponse> send(
      Function<WebClient, WebClientRequestPreparation> request, long timeoutMillis) {
    WebClient used = client();
    CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
    request
        .apply(used)
        .responseTimeoutMillis(timeoutMillis)
        .execute()
        .aggregate()
        .whenComplete(
            (r, e) -> {
              if (e == null) {
                answer.complete(r);
              } else {
                handleFailure(used, e);
                answer.completeExceptionally(e);
              }
            });
    return answer;
  }

  /** Notes how a request with {@code used} failed; replaces the connections if it timed out. */
  private void handleFailure(WebClient used, Throwable e) {
    if (replaceAllOnTimeout && isTimeout(e) && used == current.client()) {
      replace(used);
    }
  }

  /** Replaces the connections if the certificates have changed. */
  private void reloadTls() {
    long now = System.nanoTime();
    long checked = lastTlsCheckNanos.get();
    if (tls == null
        || now - checked < TimeUnit.MILLISECONDS.toNanos(TLS_CHECK_MILLIS)
        || !lastTlsCheckNanos.compareAndSet(checked, now)) {
      return;
    }
    try {
      if (!tls.modificationTimes().equals(current.tlsFileTimes())) {
        replace(current.client());
      }
    } catch (IOException e) {
      // A file that is being replaced may be missing; the connections stay and it is tried again.
      return;
    }
  }

  private static boolean isTimeout(Throwable e) {
    for (Throwable t = e; t != null; t = t.getCause()) {
      if (t instanceof ResponseTimeoutException) {
        return true;
      }
    }
    return false;
  }

  private synchronized void replace(WebClient used) {
    long now = System.nanoTime();
    if (used != current.client()
        || now - lastReplacedNanos < TimeUnit.MILLISECONDS.toNanos(MIN_REPLACE_INTERVAL_MILLIS)) {
      return;
    }
    final Generation old = current;
    try {
      current = createGeneration();
    } catch (IOException | RuntimeException e) {
      // Files that are being replaced may not fit together; the former ones stay in use.
      return;
    }
    lastReplacedNanos = now;
    CompletableFuture.delayedExecutor(CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS)
        .execute(() -> old.factory().closeAsync());
  }

  @Override
  public void close() {
    current.factory().closeAsync();
  }
}
