package dev.dandelionport.node.process;

import com.linecorp.armeria.server.GracefulShutdown;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.logging.AccessLogWriter;
import dev.dandelionport.node.connection.ReloadedKeyPair;
import dev.dandelionport.node.request.ErrorAnswers;
import dev.dandelionport.node.request.RequestLimits;
import java.net.InetSocketAddress;

/** Configures the HTTP server for callers and operators: address, TLS, limits and shutdown. */
final class CallerServer {

  /** Time without requests after which a stopping server closes its port, in milliseconds. */
  private static final long STOP_QUIET_PERIOD_MILLIS = 100;

  /** Time that a stopping server gets to send its last responses, in milliseconds. */
  private static final long STOP_TIMEOUT_MILLIS = 2_000;

  private CallerServer() {}

  static void configure(ServerBuilder sb, Settings s) {
    InetSocketAddress address = new InetSocketAddress(s.host(), s.callerPort());
    if (s.tls().isPresent()) {
      sb.https(address).tlsProvider(new ReloadedKeyPair(s.tls().get().files()));
    } else {
      sb.http(address);
    }
    RequestLimits l = s.limits();
    sb.maxRequestLength(l.bodyBytes())
        .requestTimeoutMillis(l.receiveMillis())
        .http1MaxInitialLineLength(l.requestLineBytes())
        .http1MaxHeaderSize(l.headerBytes())
        .http2MaxHeaderListSize(l.headerBytes())
        .maxNumConnections(l.connections())
        .idleTimeoutMillis(l.idleMillis())
        .gracefulShutdown(
            GracefulShutdown.builder()
                .quietPeriodMillis(STOP_QUIET_PERIOD_MILLIS)
                .timeoutMillis(STOP_TIMEOUT_MILLIS)
                .build())
        .accessLogWriter(AccessLogWriter.disabled(), false)
        .errorHandler(new ErrorAnswers());
  }
}
