package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** Estimates the run time of tasks by team, workload class and queue from the latest runs. */
final class RunTimeEstimator {

  /** Number of latest runs kept per key; the p90 is then based on about six slower runs. */
  private static final int MAX_SAMPLES = 64;

  /** Number of runs after which measured quantiles replace the declared run time. */
  private static final int MIN_SAMPLES = 8;

  private record Key(TeamId team, WorkloadClass workloadClass, String queue) {}

  private static final class Samples {
    final long[] latest = new long[MAX_SAMPLES];
    final long[] sorted = new long[MAX_SAMPLES];
    int count;
    int nextIndex;

    void add(long millis) {
      latest[nextIndex] = millis;
      nextIndex = (nextIndex + 1) % MAX_SAMPLES;
      count = Math.min(MAX_SAMPLES, count + 1);
      System.arraycopy(latest, 0, sorted, 0, count);
      Arrays.sort(sorted, 0, count);
    }
  }

  /**
   * Maximum number of keys, at about 1 KiB each. It is limited because callers choose queue names.
   */
  static final int MAX_KEYS = 2_000;

  private final Map<Key, Samples> samplesByKey =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Samples> eldest) {
          return size() > MAX_KEYS;
        }
      };

  void addSample(JobSpec spec, long millis) {
    if (millis >= 0) {
      samplesByKey.computeIfAbsent(key(spec), k -> new Samples()).add(millis);
    }
  }

  /**
   * Returns the 90th percentile of the run time in milliseconds, or the declared run time until
   * enough runs were measured.
   */
  long p90Millis(JobSpec spec) {
    return quantile(spec, 0.9, spec.expectedRunMillis());
  }

  /**
   * Returns the median run time in milliseconds, or the declared run time until enough runs were
   * measured.
   */
  long medianMillis(JobSpec spec) {
    return quantile(spec, 0.5, spec.expectedRunMillis());
  }

  /**
   * Returns the 10th percentile of the run time in milliseconds, or 0 until enough runs were
   * measured: a declared run time is not sufficient to give up a job.
   */
  long p10Millis(JobSpec spec) {
    return quantile(spec, 0.1, 0);
  }

  private long quantile(JobSpec spec, double q, long defaultMillis) {
    Samples samples = samplesByKey.get(key(spec));
    if (samples == null || samples.count < MIN_SAMPLES) {
      return defaultMillis;
    }
    return samples.sorted[(int) Math.min(samples.count - 1, Math.floor(q * samples.count))];
  }

  private static Key key(JobSpec s) {
    return new Key(s.key().team(), s.workloadClass(), s.queue());
  }
}
