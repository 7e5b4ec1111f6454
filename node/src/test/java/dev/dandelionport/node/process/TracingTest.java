package dev.dandelionport.node.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests the propagation, sampling and export of traces. */
class TracingTest {

  private static final Set<String> SPAN_NAMES =
      Set.of("entry", "owner", "commit", "start", "result");

  // Guards against a component that starts a new trace instead of continuing the caller's, so that
  // a request cannot be followed across instances.
  @Test
  void requestIsOneTraceAcrossInstances() throws Exception {
    InMemorySpanExporter spans = InMemorySpanExporter.create();
    try (TestCell cell = TestCell.ready(3, 12, SimpleSpanProcessor.create(spans))) {
      for (int i = 0; i < 12; i++) {
        cell.submitUntilAnswered(i % 3, "trace-" + i, "run=1");
      }
      TestCell.awaitTrue(() -> completeTraces(spans).size() == 12);
      assertThat(completeTraces(spans).values())
          .allSatisfy(t -> assertThat(names(t)).containsAll(SPAN_NAMES))
          .anySatisfy(t -> assertThat(instances(t)).hasSizeGreaterThan(1));
    }
  }

  private static Map<String, List<SpanData>> completeTraces(InMemorySpanExporter spans) {
    Map<String, List<SpanData>> traces =
        spans.getFinishedSpanItems().stream().collect(Collectors.groupingBy(SpanData::getTraceId));
    traces.values().removeIf(t -> !names(t).containsAll(SPAN_NAMES));
    return traces;
  }

  private static Set<String> names(List<SpanData> trace) {
    return trace.stream().map(SpanData::getName).collect(Collectors.toSet());
  }

  private static Set<String> instances(List<SpanData> trace) {
    return trace.stream()
        .map(s -> s.getResource().getAttribute(OpenTelemetryTracing.INSTANCE))
        .collect(Collectors.toSet());
  }

  // Guards against a caller's trace that is not continued, and against its sampling decision being
  // ignored.
  @Test
  void callersTraceIsContinuedAndItsSamplingDecisionIsKept() throws Exception {
    InMemorySpanExporter spans = InMemorySpanExporter.create();
    OpenTelemetryTracing t = new OpenTelemetryTracing("i", 1, SimpleSpanProcessor.create(spans));
    String id = "0af7651916cd43dd8448eb211c80319c";
    t.start("entry", "00-" + id + "-b7ad6b7169203331-01").end(true);
    t.start("entry", "00-" + id + "-b7ad6b7169203331-00").end(true);
    assertThat(spans.getFinishedSpanItems()).hasSize(1);
    assertThat(spans.getFinishedSpanItems().get(0).getTraceId()).isEqualTo(id);
    assertThat(spans.getFinishedSpanItems().get(0).getParentSpanId()).isEqualTo("b7ad6b7169203331");
  }

  // Guards against a sampling setting that has no effect.
  @Test
  void nothingIsRecordedWithSamplingZero() {
    InMemorySpanExporter spans = InMemorySpanExporter.create();
    OpenTelemetryTracing t = new OpenTelemetryTracing("i", 0, SimpleSpanProcessor.create(spans));
    String parent = t.start("entry", "").traceparent();
    t.start("owner", parent).end(true);
    assertThat(spans.getFinishedSpanItems()).isEmpty();
    // The lowest bit of the trace flags means that the trace is sampled.
    int flags = Integer.parseInt(parent.substring(parent.length() - 2), 16);
    assertThat(flags & 1).isZero();
  }

  // Guards against exported spans whose format differs from that of the log.
  @Test
  void exportedSpansAreJsonLines() {
    try (CapturedLog lines = new CapturedLog()) {
      OpenTelemetryTracing t =
          new OpenTelemetryTracing("i", 1, SimpleSpanProcessor.create(new LoggingSpanExporter()));
      t.start("commit", "").end(false);
      assertThat(lines.last())
          .containsEntry("span", "commit")
          .containsEntry("instance", "i")
          .containsEntry("ok", false)
          .containsKeys("traceId", "spanId", "startMicros", "durationMicros");
    }
  }
}
