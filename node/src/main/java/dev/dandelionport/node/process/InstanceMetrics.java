package dev.dandelionport.node.process;

import com.codahale.metrics.Counter;
import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** The metrics of one instance, in a Dropwizard registry. */
public final class InstanceMetrics {

  /**
   * Maximum number of label combinations of one metric, more than 20 teams times 4 classes.
   * Combinations beyond it are counted under the label value {@code other}.
   */
  private static final int MAX_SERIES = 200;

  private static final String OVERFLOW_LABEL = "other";

  private final MetricRegistry registry = new MetricRegistry();
  private final Map<MetricSpec, Map<String, Metric>> series = new EnumMap<>(MetricSpec.class);

  /** Creates the metrics. Counters and histograms without labels are registered immediately. */
  public InstanceMetrics() {
    for (MetricSpec s : MetricSpec.values()) {
      series.put(s, new ConcurrentHashMap<>());
      if (s.labels().isEmpty() && s.kind() == MetricSpec.Kind.COUNTER) {
        counter(s);
      } else if (s.labels().isEmpty() && s.kind() == MetricSpec.Kind.HISTOGRAM) {
        histogram(s);
      }
    }
  }

  /** Returns the counter for the given label values, in the order of the labels. */
  public Counter counter(MetricSpec spec, String... labelValues) {
    return (Counter) getOrCreate(spec, Counter::new, labelValues);
  }

  /** Returns the histogram for the given label values, in the order of the labels. */
  BucketHistogram histogram(MetricSpec spec, String... labelValues) {
    return (BucketHistogram) getOrCreate(spec, BucketHistogram::new, labelValues);
  }

  /** Registers the source of a gauge, or of a counter that is maintained elsewhere. */
  public void registerSource(MetricSpec spec, DoubleSupplier source, String... labelValues) {
    String key = key(spec, labelValues);
    Gauge<Double> g = source::getAsDouble;
    series.get(spec).put(key, g);
    registry.remove(key);
    registry.register(key, g);
  }

  /** Sets the value of a gauge for the given label values, in the order of the labels. */
  @SuppressWarnings("unchecked")
  void set(MetricSpec spec, double value, String... labelValues) {
    Metric m = getOrCreate(spec, () -> new DefaultSettableGauge<>(0.0), labelValues);
    ((DefaultSettableGauge<Double>) m).setValue(value);
  }

  /** Sets all values of a gauge to 0, so that a removed team or partition has no stale value. */
  @SuppressWarnings("unchecked")
  void resetToZero(MetricSpec spec) {
    series.get(spec).values().forEach(m -> ((DefaultSettableGauge<Double>) m).setValue(0.0));
  }

  /** Returns the registry, whose names are metric names with labels in braces. */
  MetricRegistry registry() {
    return registry;
  }

  private Metric getOrCreate(
      MetricSpec spec, Supplier<? extends Metric> factory, String... labelValues) {
    Map<String, Metric> existing = series.get(spec);
    String key = key(spec, labelValues);
    Metric m = existing.get(key);
    if (m != null) {
      return m;
    }
    String boundedKey = key;
    if (existing.size() >= MAX_SERIES) {
      String[] overflowLabels = new String[labelValues.length];
      java.util.Arrays.fill(overflowLabels, OVERFLOW_LABEL);
      boundedKey = key(spec, overflowLabels);
    }
    return existing.computeIfAbsent(boundedKey, k -> registry.register(k, factory.get()));
  }

  private static String key(MetricSpec spec, String... labelValues) {
    if (labelValues.length != spec.labels().size()) {
      throw new IllegalArgumentException(
          spec.metric()
              + " expects values for "
              + spec.labels()
              + "; given: "
              + labelValues.length);
    }
    if (labelValues.length == 0) {
      return spec.metric();
    }
    StringBuilder b = new StringBuilder(spec.metric());
    for (int i = 0; i < labelValues.length; i++) {
      b.append(i == 0 ? '{' : ',').append(spec.labels().get(i)).append("=\"");
      b.append(escape(labelValues[i])).append('"');
    }
    return b.append('}').toString();
  }

  private static String escape(String v) {
    return v.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
  }
}
