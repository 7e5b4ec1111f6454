package dev.dandelionport.node.process;

import dev.dandelionport.core.port.Tracing;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.HashMap;
import java.util.Map;

/** Records spans with the OpenTelemetry SDK and propagates contexts in the W3C format. */
final class OpenTelemetryTracing implements Tracing, AutoCloseable {

  /** Resource attribute with the name of the instance that recorded a span. */
  static final AttributeKey<String> INSTANCE = AttributeKey.stringKey("service.instance.id");

  private static final String HEADER = "traceparent";

  private static final TextMapGetter<String> GETTER =
      new TextMapGetter<>() {
        @Override
        public String get(String carrier, String key) {
          return HEADER.equals(key) ? carrier : null;
        }
      };

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  /**
   * Creates the tracing of an instance.
   *
   * @param instance name of the instance
   * @param samplingRatio fraction of the traces started here that is recorded, from 0 to 1; the
   *     sampling decision in a caller's trace context takes precedence
   * @param processor receives ended spans
   */
  OpenTelemetryTracing(String instance, double samplingRatio, SpanProcessor processor) {
    provider =
        SdkTracerProvider.builder()
            .setResource(Resource.create(Attributes.of(INSTANCE, instance)))
            .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(samplingRatio)))
            .addSpanProcessor(processor)
            .build();
    tracer = provider.get("dev.dandelionport");
  }

  @Override
  public Tracing.Span start(String name, String traceparent) {
    Context parent =
        W3CTraceContextPropagator.getInstance().extract(Context.root(), traceparent, GETTER);
    return new OpenSpan(tracer.spanBuilder(name).setParent(parent).startSpan());
  }

  /** Exports the ended spans and stops recording. */
  @Override
  public void close() {
    provider.shutdown();
  }

  private record OpenSpan(io.opentelemetry.api.trace.Span span) implements Tracing.Span {
    @Override
    public String traceparent() {
      Map<String, String> m = new HashMap<>();
      W3CTraceContextPropagator.getInstance()
          .inject(Context.root().with(span), m, (carrier, k, v) -> carrier.put(k, v));
      return m.getOrDefault(HEADER, "");
    }

    @Override
    public void end(boolean ok) {
      if (!ok) {
        span.setStatus(StatusCode.ERROR);
      }
      span.end();
    }
  }
}
