package dev.dandelionport.node.process;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.engine.EngineContext;
import dev.dandelionport.core.engine.InstanceEngine;
import dev.dandelionport.core.engine.JobRouter;
import dev.dandelionport.core.manifest.ManifestReader;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.Tracing;
import dev.dandelionport.node.connection.EtcdStore;
import dev.dandelionport.node.connection.HttpInstanceList;
import dev.dandelionport.node.connection.HttpWorkerClient;
import dev.dandelionport.node.connection.PeerServer;
import dev.dandelionport.node.connection.TcpPeerClient;
import dev.dandelionport.node.connection.TlsFiles;
import dev.dandelionport.node.process.Settings.Tls;
import dev.dandelionport.node.request.JobService;
import dev.dandelionport.node.request.OperatorService;
import dev.dandelionport.node.version.ManifestViews;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** One running instance: creates and connects its engine, servers and clients. */
public final class Node {

  private static final int TIMER_THREADS = 2;
  private static final int PEER_THREADS = 2;

  /** Timeout for closing the caller port, in milliseconds; its own shutdown takes at most 2 s. */
  private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(TIMER_THREADS);
  private final EventLoopGroup peerEventLoops =
      new MultiThreadIoEventLoopGroup(PEER_THREADS, NioIoHandler.newFactory());
  private final Settings settings;
  private final Observability observability;
  private final InstanceEngine engine;
  private final HealthService health;
  private final PeerServer peerServer;
  private final TcpPeerClient peers;
  private final JobRouter router;
  private final Server server;

  /** Creates the instance with the given settings and binds its peer port. */
  public Node(Settings s) {
    this(
        s,
        s.traces().export() ? BatchSpanProcessor.builder(new LoggingSpanExporter()).build() : null);
  }

  /** Creates the instance; {@code spans} receives its spans, or is null to disable tracing. */
  Node(Settings s, SpanProcessor spans) {
    // A graceful stop needs the clients of the store and the workers until its last write. The
    // default shutdown hook would close them as soon as the process receives the stop signal.
    ClientFactory.disableShutdownHook();
    settings = s;
    final SystemTime time = new SystemTime();
    final ExecutorTimer timer = new ExecutorTimer(executor);
    TlsFiles tls = s.tls().map(Tls::files).orElse(null);
    AtomicReference<InstanceEngine> receiver = new AtomicReference<>();
    peerServer =
        new PeerServer(
            peerEventLoops, s.host(), s.peerPort(), s.cell(), tls, m -> receiver.get().receive(m));
    String id = s.instance() + "-" + Long.toString(System.currentTimeMillis(), 36);
    InstanceInfo self =
        new InstanceInfo(
            new InstanceId(id), s.region(), s.failureDomain(), s.host(), peerServer.port());
    observability = new Observability(id, s.traces().samplingRatio(), spans);
    final Tracing tracing = observability.tracing();
    final KeyValueStore store =
        observability.meteredStore(
            new EtcdStore(s.storeUrl(), tlsFor(s.storeUrl(), s.platformTls().store(), tls)));
    peerServer.setInstance(self.id());
    peers = new TcpPeerClient(peerEventLoops, s.cell(), self.id(), tls);
    peerServer.setSentFrameListener(observability::countSentFrame);
    peers.setSentFrameListener(observability::countSentFrame);
    EngineContext context =
        new EngineContext(
            self,
            store,
            observability.meteredWorkers(
                new HttpWorkerClient(s.platformTls().workers().map(Tls::files).orElse(null))),
            new HttpInstanceList(
                s.instanceListUrl(),
                tlsFor(s.instanceListUrl(), s.platformTls().instanceList(), tls)),
            observability.meteredPeers(peers),
            time,
            timer,
            observability.observer(),
            tracing);
    engine = new InstanceEngine(context);
    receiver.set(engine);
    observability.registerEngineMetrics(engine);
    health = new HealthService(engine, time, timer);
    observability.metrics().registerSource(MetricSpec.READY, () -> isReady() ? 1 : 0);
    router = new JobRouter(engine, context);
    ManifestViews views = new ManifestViews(() -> engine.state().manifest());
    JobService jobs = new JobService(engine, router, views, time, s.limits(), tracing);
    ServerBuilder sb = Server.builder();
    CallerServer.configure(sb, s);
    server =
        sb.service("/v1/jobs", jobs)
            .service("prefix:/v1/jobs/", jobs)
            .route()
            .pathPrefix("/v1/operator/")
            .maxRequestLength(ManifestReader.MAX_BYTES)
            .build(new OperatorService(engine, router, peers, store, time, s.operatorKeys()))
            .service("/healthz", (ctx, req) -> health.live())
            .service("/readyz", (ctx, req) -> health.ready())
            .service("/metrics", (ctx, req) -> observability.scrape())
            .decorator(observability::serveAndCount)
            .build();
  }

  /**
   * Returns the TLS files for connections to a service of the platform. If the settings have none
   * for the service and its URL is encrypted, the files of the instance are used. Null means that
   * the default authorities of the virtual machine are trusted.
   */
  private static TlsFiles tlsFor(String url, Optional<Tls> own, TlsFiles instance) {
    return own.map(Tls::files).orElse(url.startsWith("https://") ? instance : null);
  }

  /** Joins the cell and serves callers. */
  public CompletableFuture<Void> start() {
    EventLog.log(LogEvent.INSTANCE_STARTING, settings.summary());
    engine.start();
    health.start();
    return server
        .start()
        .thenRun(
            () ->
                EventLog.log(
                    LogEvent.INSTANCE_SERVING, Map.of("instance", name(), "port", callerPort())));
  }

  private String name() {
    return engine.self().id().value();
  }

  /** Returns the port that callers use. */
  public int callerPort() {
    return server.activeLocalPort();
  }

  /** Returns the engine. */
  public InstanceEngine engine() {
    return engine;
  }

  private boolean isReady() {
    return health.notReadyReasons().isEmpty();
  }

  /**
   * Stops gracefully: hands over the partitions, answers waiting callers, then closes the servers.
   * Completes within 18.5 s. A server that does not close in time is logged but is not treated as a
   * failure, because the partitions have been handed over by then.
   */
  public CompletableFuture<Void> stop() {
    EventLog.log(LogEvent.INSTANCE_STOPPING, Map.of("instance", name()));
    long startNanos = System.nanoTime();
    return engine
        .stop()
        .handle(
            (v, e) -> {
              router.stop();
              return null;
            })
        .thenCompose(v -> server.stop().orTimeout(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
        .handle(
            (v, e) -> {
              peers.close();
              peerServer.close();
              peerEventLoops.shutdownGracefully();
              executor.shutdown();
              observability.close();
              logStopped(startNanos, e);
              return null;
            });
  }

  private void logStopped(long startNanos, Throwable e) {
    if (e == null) {
      long millis = (System.nanoTime() - startNanos) / 1_000_000;
      EventLog.log(LogEvent.INSTANCE_STOPPED, Map.of("instance", name(), "millis", millis));
    } else {
      EventLog.log(LogEvent.STOP_FAILED, e, Map.of("instance", name()));
    }
  }
}
