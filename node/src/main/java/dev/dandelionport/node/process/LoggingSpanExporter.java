package dev.dandelionport.node.process;

import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each span as one line of JSON on standard output, in the format of the log. */
final class LoggingSpanExporter implements SpanExporter {

  private static final Logger LOGGER = LoggerFactory.getLogger("dev.dandelionport.trace");

  private static final long NANOS_PER_MICRO = 1_000;

  @Override
  public CompletableResultCode export(Collection<SpanData> spans) {
    for (SpanData s : spans) {
      long nanos = s.getEndEpochNanos() - s.getStartEpochNanos();
      LOGGER
          .atInfo()
          .addKeyValue("span", s.getName())
          .addKeyValue("traceId", s.getTraceId())
          .addKeyValue("spanId", s.getSpanId())
          .addKeyValue("parentSpanId", s.getParentSpanId())
          .addKeyValue("instance", s.getResource().getAttribute(OpenTelemetryTracing.INSTANCE))
          .addKeyValue("startMicros", s.getStartEpochNanos() / NANOS_PER_MICRO)
          .addKeyValue("durationMicros", nanos / NANOS_PER_MICRO)
          .addKeyValue("ok", s.getStatus().getStatusCode() != StatusCode.ERROR)
          .log("span");
    }
    return CompletableResultCode.ofSuccess();
  }

  @Override
  public CompletableResultCode flush() {
    return CompletableResultCode.ofSuccess();
  }

  @Override
  public CompletableResultCode shutdown() {
    return CompletableResultCode.ofSuccess();
  }
}
