package dev.dandelionport.node.process;

import com.codahale.metrics.Metric;
import java.util.concurrent.atomic.LongAdder;

/**
 * Histogram of durations with fixed buckets. Dropwizard's own histograms keep quantiles, which
 * cannot be added up over instances; bucket counts can.
 */
final class BucketHistogram implements Metric {

  /** Upper bounds in milliseconds. 4,600 is the target for urgent starts after an owner failed. */
  private static final long[] BOUNDS = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 4_600, 10_000, 60_000, 600_000
  };

  private final LongAdder[] counts = new LongAdder[BOUNDS.length + 1];
  private final LongAdder sumMillis = new LongAdder();

  BucketHistogram() {
    for (int i = 0; i < counts.length; i++) {
      counts[i] = new LongAdder();
    }
  }

  /** Adds a duration to its bucket and to the sum. */
  void update(long millis) {
    int i = 0;
    while (i < BOUNDS.length && millis > BOUNDS[i]) {
      i++;
    }
    counts[i].increment();
    sumMillis.add(Math.max(0, millis));
  }

  int bucketCount() {
    return counts.length;
  }

  /** Returns the upper bound of a bucket in seconds, in the Prometheus text format. */
  String upperBound(int bucket) {
    return bucket == BOUNDS.length ? "+Inf" : Double.toString(BOUNDS[bucket] / 1_000.0);
  }

  long count(int bucket) {
    return counts[bucket].sum();
  }

  double sumSeconds() {
    return sumMillis.sum() / 1_000.0;
  }
}
