package dev.dandelionport.node.process;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Writes metrics in the Prometheus text exposition format, version 0.0.4. */
final class PrometheusText {

  private final StringBuilder out = new StringBuilder(16 << 10);

  private PrometheusText() {}

  /** Returns the text of all metrics, ordered as in {@link MetricSpec}. */
  static String of(InstanceMetrics metrics) {
    PrometheusText t = new PrometheusText();
    Map<String, Metric> all = new TreeMap<>(metrics.registry().getMetrics());
    for (MetricSpec s : MetricSpec.values()) {
      t.appendFamily(s, all);
    }
    return t.out.toString();
  }

  private void appendFamily(MetricSpec s, Map<String, Metric> all) {
    out.append("# HELP ").append(s.metric()).append(' ').append(s.help()).append('\n');
    out.append("# TYPE ").append(s.metric()).append(' ');
    out.append(s.kind().name().toLowerCase(Locale.ROOT)).append('\n');
    all.forEach(
        (key, m) -> {
          int brace = key.indexOf('{');
          String name = brace < 0 ? key : key.substring(0, brace);
          if (name.equals(s.metric())) {
            appendSample(name, brace < 0 ? "" : key.substring(brace + 1, key.length() - 1), m);
          }
        });
  }

  private void appendSample(String name, String labels, Metric m) {
    if (m instanceof Counter c) {
      appendLine(name, labels, Long.toString(c.getCount()));
    } else if (m instanceof Gauge<?> g) {
      appendLine(name, labels, formatNumber(((Number) g.getValue()).doubleValue()));
    } else if (m instanceof BucketHistogram h) {
      appendHistogram(name, labels, h);
    }
  }

  private void appendHistogram(String name, String labels, BucketHistogram h) {
    long cumulativeCount = 0;
    String prefix = labels.isEmpty() ? "" : labels + ",";
    for (int i = 0; i < h.bucketCount(); i++) {
      cumulativeCount += h.count(i);
      appendLine(
          name + "_bucket",
          prefix + "le=\"" + h.upperBound(i) + "\"",
          Long.toString(cumulativeCount));
    }
    appendLine(name + "_sum", labels, formatNumber(h.sumSeconds()));
    appendLine(name + "_count", labels, Long.toString(cumulativeCount));
  }

  private void appendLine(String name, String labels, String value) {
    out.append(name);
    if (!labels.isEmpty()) {
      out.append('{').append(labels).append('}');
    }
    out.append(' ').append(value).append('\n');
  }

  private static String formatNumber(double v) {
    return v == Math.rint(v) && Math.abs(v) < 1e15 ? Long.toString((long) v) : Double.toString(v);
  }
}
