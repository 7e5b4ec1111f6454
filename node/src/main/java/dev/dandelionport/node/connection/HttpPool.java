package dev.dandelionport.node.connection;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryBuilder;
import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.client.WebClientRequestPreparation;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.common.Flags;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.util.TimeoutMode;
import com.linecorp.armeria.common.util.TransportType;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
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
import org.reactivestreams.Publisher;

/**
 * Pooled HTTP/1.1 connections to a service of the platform. With HTTP/1.1, a request that times out
 * closes its own connection, whereas HTTP/2 would keep sending other requests over a connection
 * that no longer responds. If {@code replaceAllOnTimeout} is set, a timeout also replaces all other
 * pooled connections, because connections usually stop responding together.
 */
public final class HttpPool implements AutoCloseable {

  private static final long CONNECT_MILLIS = 500;

  /** Idle time after which a connection is closed, in milliseconds. */
  private static final long IDLE_MILLIS = 8_000;

  /**
   * Seconds without traffic before the kernel sends its first keep-alive probe. Together with the
   * interval and number of probes, a connection whose remote end or path is gone fails after 20 s
   * instead of at the end of a long poll.
   */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 11;

  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 3;

  /** Number of unanswered probes after which a connection fails. */
  private static final int KEEP_ALIVE_PROBES = 3;

  /** Short user agent; the HTTP library's name and version take 15 more bytes in each request. */
  private static final String USER_AGENT = "dp";

  /**
   * Delay before replaced connections are closed, so that pending calls finish, in milliseconds.
   */
  private static final long CLOSE_DELAY_MILLIS = 1_000;

  /** Minimum time between two replacements, in milliseconds. */
  private static final long MIN_REPLACE_INTERVAL_MILLIS = 500;

  /** Interval at which the TLS files are checked for changes, in milliseconds. */
  private static final long TLS_CHECK_MILLIS = 1_000;

  private record Generation(ClientFactory factory, WebClient client, List<FileTime> tlsFileTimes) {}

  private final String url;
  private final long maxAnswerBytes;
  private final boolean replaceAllOnTimeout;
  private final TlsFiles tls;
  private final EventLoopGroup eventLoops;
  private final AtomicLong lastTlsCheckNanos = new AtomicLong(System.nanoTime());
  private long lastReplacedNanos = System.nanoTime();
  private volatile Generation current;

  /**
   * Creates a pool.
   *
   * @param url base URL, or empty for requests with absolute URLs
   * @param maxAnswerBytes maximum response size, in bytes
   * @param replaceAllOnTimeout whether a timeout replaces all pooled connections
   * @param tls TLS files; null for the certificate authorities that the JVM trusts
   */
  public HttpPool(String url, long maxAnswerBytes, boolean replaceAllOnTimeout, TlsFiles tls) {
    this(url, maxAnswerBytes, replaceAllOnTimeout, tls, CommonPools.workerGroup());
  }

  /**
   * Creates a pool whose connections use {@code eventLoops} only, so that its calls do not wait
   * behind those of other pools. The caller closes the event loops.
   */
  public HttpPool(
      String url,
      long maxAnswerBytes,
      boolean replaceAllOnTimeout,
      TlsFiles tls,
      EventLoopGroup eventLoops) {
    this.url = url;
    this.maxAnswerBytes = maxAnswerBytes;
    this.replaceAllOnTimeout = replaceAllOnTimeout;
    this.tls = tls;
    this.eventLoops = eventLoops;
    try {
      this.current = createGeneration();
    } catch (IOException | RuntimeException e) {
      throw new TlsException("cannot read TLS files " + tls, e);
    }
  }

  /** Returns {@code url} with the scheme that makes the client use HTTP/1.1. */
  static String http1(String url) {
    return url.replaceFirst("^http://", "h1c://").replaceFirst("^https://", "h1://");
  }

  private Generation createGeneration() throws IOException {
    ClientFactoryBuilder fb =
        ClientFactory.builder()
            .workerGroup(eventLoops, false)
            .connectTimeoutMillis(CONNECT_MILLIS)
            .idleTimeoutMillis(IDLE_MILLIS)
            .channelOption(ChannelOption.SO_KEEPALIVE, true)
            .channelOption(ChannelOption.WRITE_BUFFER_WATER_MARK, TcpPeerClient.WRITE_BUFFER);
    if (Flags.transportType() == TransportType.NIO) {
      // Other transports have different options and are not used by bin/dandelionport.
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
   * Sends a request and returns its complete response. Without a response the future fails with the
   * HTTP library's error; connections that the failure replaces are replaced before that.
   *
   * @param request method, path and content
   * @param timeoutMillis longest time until the complete response has arrived
   */
  public CompletableFuture<AggregatedHttpResponse> send(
      Function<WebClient, WebClientRequestPreparation> request, long timeoutMillis) {
    WebClient used = client();
    try {
      return aggregate(used, request.apply(used).responseTimeoutMillis(timeoutMillis).execute());
    } catch (RuntimeException e) {
      // A request that cannot be built, for example for a malformed address, fails like others.
      return CompletableFuture.failedFuture(e);
    }
  }

  /**
   * Sends a request whose response may be large for the link and returns the complete response.
   *
   * @param request method, path and content
   * @param idleTimeoutMillis longest time without any part of the response
   */
  public CompletableFuture<AggregatedHttpResponse> sendForLargeResponse(
      Function<WebClient, WebClientRequestPreparation> request, long idleTimeoutMillis) {
    WebClient used = client();
    try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
      HttpResponse response =
          request.apply(used).responseTimeoutMillis(idleTimeoutMillis).execute();
      ClientRequestContext context = captor.get();
      HttpResponse extending =
          response.peekData(
              d -> context.setResponseTimeoutMillis(TimeoutMode.SET_FROM_NOW, idleTimeoutMillis));
      // The library aggregates a filtered response first and filters it at the end; a plain
      // publisher gets each part as it arrives.
      Publisher<HttpObject> parts = extending::subscribe;
      return aggregate(used, HttpResponse.of(parts));
    } catch (RuntimeException e) {
      // As in send.
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<AggregatedHttpResponse> aggregate(
      WebClient used, HttpResponse response) {
    CompletableFuture<AggregatedHttpResponse> answer = new CompletableFuture<>();
    response
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

  /** Replaces the connections if a request sent through {@code used} timed out. */
  private void handleFailure(WebClient used, Throwable e) {
    if (replaceAllOnTimeout && isTimeout(e) && used == current.client()) {
      replace(used);
    }
  }

  /** Replaces the connections if the TLS files have changed. */
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
      // A file may be missing while it is replaced; keep the connections and check again later.
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
      // The files may be inconsistent while they are replaced; the previous ones stay in use.
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
