package dev.dandelionport.node.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Compares the metrics with their documentation and checks the scrape endpoint. */
class MetricsTest {

  private static final Pattern SAMPLE =
      Pattern.compile(
          "[a-z_]+(\\{[a-z]+=\"[^\"]*\"(,[a-z]+=\"[^\"]*\")*\\})? -?[0-9.]+(E-?[0-9]+)?");

  // Guards against docs/METRICS.md that lacks a metric, lists a removed one or has a wrong unit.
  @Test
  void catalogueAndMetricsAreEqual() throws IOException {
    List<List<String>> rows =
        Files.readAllLines(Path.of("..", "docs", "METRICS.md")).stream()
            .filter(l -> l.startsWith("| dandelionport_"))
            .map(l -> Arrays.stream(l.split("\\|")).map(String::strip).toList())
            .map(c -> c.subList(1, 6))
            .toList();
    List<List<String>> specs =
        Arrays.stream(MetricSpec.values())
            .map(s -> List.of(s.metric(), kind(s), s.unit(), labels(s), s.help()))
            .toList();
    assertThat(rows).containsExactlyElementsOf(specs);
  }

  private static String kind(MetricSpec s) {
    return s.kind().name().toLowerCase(Locale.ROOT);
  }

  private static String labels(MetricSpec s) {
    return s.labels().isEmpty() ? "none" : String.join(", ", s.labels());
  }

  // Guards against label values from outside that create an unbounded number of time series.
  @Test
  void labelCombinationsAreBounded() {
    InstanceMetrics m = new InstanceMetrics();
    for (int i = 0; i < 10_000; i++) {
      m.counter(MetricSpec.ALERTS, "code-" + i).inc();
    }
    String text = PrometheusText.of(m);
    long series = text.lines().filter(l -> l.startsWith("dandelionport_alerts_total{")).count();
    assertThat(series).isEqualTo(201);
    assertThat(text).contains("dandelionport_alerts_total{code=\"other\"} 9800\n");
  }

  // Guards against bucket counts that are not cumulative, as the Prometheus text format requires.
  @Test
  void histogramBucketsAreCumulative() {
    InstanceMetrics m = new InstanceMetrics();
    m.histogram(MetricSpec.JOB_WAIT, "urgent").update(3);
    m.histogram(MetricSpec.JOB_WAIT, "urgent").update(4_600);
    m.histogram(MetricSpec.JOB_WAIT, "urgent").update(900_000);
    assertThat(PrometheusText.of(m))
        .contains("dandelionport_job_wait_seconds_bucket{class=\"urgent\",le=\"0.002\"} 0\n")
        .contains("dandelionport_job_wait_seconds_bucket{class=\"urgent\",le=\"0.005\"} 1\n")
        .contains("dandelionport_job_wait_seconds_bucket{class=\"urgent\",le=\"4.6\"} 2\n")
        .contains("dandelionport_job_wait_seconds_bucket{class=\"urgent\",le=\"+Inf\"} 3\n")
        .contains("dandelionport_job_wait_seconds_sum{class=\"urgent\"} 904.603\n")
        .contains("dandelionport_job_wait_seconds_count{class=\"urgent\"} 3\n");
  }

  // Guards against a scrape that cannot be parsed, and against metrics that do not change with the
  // work of the instance.
  @Test
  void scrapeShowsWorkOfTheInstance() throws Exception {
    try (TestCell cell = TestCell.ready(1, 12)) {
      for (int i = 0; i < 5; i++) {
        cell.submit(0, "r" + i, "run=1");
      }
      cell.call(0, HttpMethod.POST, "/v1/jobs", "puht.wrong", "{}");
      String text = cell.call(0, HttpMethod.GET, "/metrics", "", "").contentUtf8();
      List<String> lines = text.lines().filter(l -> !l.startsWith("#")).toList();
      assertThat(lines).allSatisfy(l -> assertThat(l).matches(SAMPLE));
      assertThat(value(text, "dandelionport_jobs_accepted_total{class=\"urgent\"}")).isEqualTo(5);
      assertThat(value(text, "dandelionport_starts_total{class=\"urgent\"}")).isEqualTo(5);
      assertThat(value(text, "dandelionport_manifest_version")).isEqualTo(1);
      assertThat(value(text, "dandelionport_authority_held")).isEqualTo(1);
      assertThat(value(text, "dandelionport_manifest_confirmed")).isEqualTo(1);
      assertThat(value(text, "dandelionport_workers_usable")).isEqualTo(12);
      assertThat(value(text, "dandelionport_team_running_tasks{team=\"certificates\"}")).isZero();
      assertThat(value(text, "dandelionport_waiting_tasks{class=\"urgent\"}")).isZero();
      assertThat(value(text, "dandelionport_ready")).isEqualTo(1);
      assertThat(value(text, "dandelionport_recoveries_total")).isEqualTo(2);
      assertThat(value(text, "dandelionport_partitions_served")).isEqualTo(2);
      assertThat(value(text, "dandelionport_admission_refusals_total{status=\"401\"}"))
          .isEqualTo(1);
      assertThat(value(text, "dandelionport_store_writes_total")).isGreaterThan(2);
      assertThat(value(text, "dandelionport_process_resident_bytes")).isGreaterThan(1e6);
    }
  }

  // Guards against traffic between instances that cannot be attributed to a message type.
  @Test
  void scrapeShowsBytesSentByKindOfFrame() throws Exception {
    try (TestCell cell = TestCell.ready(2, 6)) {
      String[] frames = {"hello", "Heartbeat", "InspectCall", "InspectAnswer"};
      for (String frame : frames) {
        String sample = "dandelionport_peer_sent_bytes_total{frame=\"" + frame + "\"}";
        TestCell.awaitTrue(
            () -> {
              cell.call(0, HttpMethod.GET, "/v1/operator/status", TestCell.OPERATOR, "");
              cell.call(1, HttpMethod.GET, "/v1/operator/status", TestCell.OPERATOR, "");
              return value(cell.call(0, HttpMethod.GET, "/metrics", "", "").contentUtf8(), sample)
                  > 0;
            });
      }
    }
  }

  static double value(String text, String sample) {
    Matcher m =
        Pattern.compile("^" + Pattern.quote(sample) + " (\\S+)$", Pattern.MULTILINE).matcher(text);
    return m.find() ? Double.parseDouble(m.group(1)) : Double.NaN;
  }
}
