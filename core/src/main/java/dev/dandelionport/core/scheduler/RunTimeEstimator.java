package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** Learns how long tasks run, by team, workload class and queue, from the latest runs. */
final class RunTimeEstimator {

  /** Runs that are remembered; the p90 then rests on about six slower runs. */
  private static final int MAX_SAMPLES = 64;

  /** Runs after which the learned quantiles replace the declared run time. */
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

  /** Kinds of tasks that are remembered, at about 1 KiB each; callers choose queue names. */
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

  /** Returns a run time that few tasks exceed, in milliseconds. */
  long p90Millis(JobSpec spec) {
    return quantile(spec, 0.9, spec.expectedRunMillis());
  }

  /** Returns the middle run time, in milliseconds. */
  long medianMillis(JobSpec spec) {
    return quantile(spec, 0.5, spec.expectedRunMillis());
  }

  /**
   * Returns a run time that nearly all tasks reach, in milliseconds. A declared time is no reason
   * to give a job up, so it is 0 until enough runs were seen.
   */
  long p10Millis(JobSpec spec) {
    return quantile(spec, 0.1, 0);
  }

  private long quantile(JobSpec spec, double q, long defaultMillis) {
    Samples r = samplesByKey.get(key(spec));
    if (r == null || r.count < MIN_SAMPLES) {
      return defaultMillis;
    }
    return r.sorted[(int) Math.min(r.count - 1, Math.floor(q * r.count))];
  }

  private static Key key(JobSpec s) {
    return new Key(s.key().team(), s.workloadClass(), s.queue());
  }
}
