package dev.dandelionport.node.process;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.logging.RequestLog;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import dev.dandelionport.core.engine.EngineEvent;
import dev.dandelionport.core.engine.InstanceEngine;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.PeerClient;
import dev.dandelionport.core.port.Tracing;
import dev.dandelionport.core.port.WorkerClient;
import io.opentelemetry.sdk.trace.SpanProcessor;
import java.util.Set;
import java.util.function.Consumer;

/** Logging, metrics and tracing of one instance; wraps its clients and services to observe them. */
final class Observability implements AutoCloseable {

  private static final MediaType PROMETHEUS =
      MediaType.parse("text/plain; version=0.0.4; charset=utf-8");

  private static final String JOBS_PATH = "/v1/jobs";

  /** Statuses of job requests that are counted as refused at admission. */
  private static final Set<HttpStatus> REFUSAL_STATUSES =
      Set.of(HttpStatus.UNAUTHORIZED, HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE);

  private final InstanceMetrics metrics = new InstanceMetrics();
  private final Consumer<EngineEvent> observer =
      new EngineEventLog().andThen(new EngineEventMetrics(metrics));

  private final Tracing tracing;
  private SchedulerMetrics schedulerMetrics;

  /**
   * Creates the metrics and the tracing of an instance.
   *
   * @param instance name of the instance
   * @param samplingRatio fraction of the traces that is recorded, from 0 to 1
   * @param spans receives ended spans, or null to disable tracing
   */
  Observability(String instance, double samplingRatio, SpanProcessor spans) {
    tracing =
        spans == null ? Tracing.NONE : new OpenTelemetryTracing(instance, samplingRatio, spans);
    ProcessMetrics.register(metrics);
  }

  Consumer<EngineEvent> observer() {
    return observer;
  }

  Tracing tracing() {
    return tracing;
  }

  /** Exports the ended spans and stops tracing. */
  @Override
  public void close() {
    if (tracing instanceof OpenTelemetryTracing t) {
      t.close();
    }
  }

  InstanceMetrics metrics() {
    return metrics;
  }

  KeyValueStore meteredStore(KeyValueStore store) {
    return new MeteredStore(store, metrics, observer);
  }

  WorkerClient meteredWorkers(WorkerClient workers) {
    return new MeteredWorkerClient(workers, metrics);
  }

  PeerClient meteredPeers(PeerClient peers) {
    return new MeteredPeerClient(peers, metrics);
  }

  /** Counts the bytes of a frame sent to another instance. */
  void countSentFrame(String kind, long bytes) {
    metrics.counter(MetricSpec.PEER_SENT_BYTES, kind).inc(bytes);
  }

  /** Registers the metrics that are read from the state of {@code engine}. */
  void registerEngineMetrics(InstanceEngine engine) {
    metrics.registerSource(
        MetricSpec.MANIFEST_VERSION,
        () -> engine.state().manifest().map(m -> (double) m.version()).orElse(0.0));
    metrics.registerSource(MetricSpec.ASSIGNMENT_VERSION, () -> engine.state().table().version());
    metrics.registerSource(MetricSpec.LIVE_MEMBERS, () -> engine.state().live().size());
    metrics.registerSource(MetricSpec.PARTITIONS_SERVED, () -> engine.serving().size());
    metrics.registerSource(
        MetricSpec.MANIFEST_CONFIRMED, () -> engine.isManifestConfirmed() ? 1 : 0);
    schedulerMetrics = new SchedulerMetrics(engine, metrics);
    metrics.registerSource(MetricSpec.AUTHORITY, () -> engine.hasAuthority() ? 1 : 0);
  }

  /** Returns the response to a Prometheus scrape. */
  HttpResponse scrape() {
    schedulerMetrics.refresh();
    return HttpResponse.of(HttpStatus.OK, PROMETHEUS, PrometheusText.of(metrics));
  }

  /** Serves a request and counts its response by route and status; decorates all services. */
  HttpResponse serveAndCount(HttpService service, ServiceRequestContext ctx, HttpRequest req)
      throws Exception {
    ctx.log().whenComplete().thenAccept(log -> count(ctx, log));
    return service.serve(ctx, req);
  }

  private void count(ServiceRequestContext ctx, RequestLog log) {
    HttpStatus status = log.responseHeaders().status();
    String route = ctx.config().route().patternString();
    metrics.counter(MetricSpec.HTTP_RESPONSES, route, status.codeAsText()).inc();
    if (ctx.path().startsWith(JOBS_PATH) && REFUSAL_STATUSES.contains(status)) {
      metrics.counter(MetricSpec.ADMISSION_REFUSALS, status.codeAsText()).inc();
    }
  }
}
