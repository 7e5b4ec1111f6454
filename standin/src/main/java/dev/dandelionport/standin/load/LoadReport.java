package dev.dandelionport.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import dev.dandelionport.standin.load.LoadOutcome.Verdict;
import java.io.PrintStream;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Compares the outcomes that callers received with the runs of the workers, and prints both. */
final class LoadReport {

  /** Violations that the platform counts in addition to {@code overlaps}. */
  private static final List<String> VIOLATIONS =
      List.of("overcommits", "restarts", "overLimit", "drainedStarts", "leavingStarts");

  private static final class Tally {
    int submitted;
    int answered;
    int refused;
    int lost;
    int doubled;
    final Histogram waitMillis = new Histogram(3);
    final Histogram totalMillis = new Histogram(3);
  }

  /** Runs of one request, as recorded by the workers. */
  private static final class RecordedRuns {
    final Map<String, Integer> starts = new HashMap<>();
    final Map<String, Integer> successes = new HashMap<>();
    long firstStartMillis = Long.MAX_VALUE;
    boolean running;

    void add(JsonNode run) {
      String job = run.path("job").asText();
      starts.merge(job, 1, Integer::sum);
      if (run.path("outcome").asText().equals("SUCCEEDED")) {
        successes.merge(job, 1, Integer::sum);
      }
      firstStartMillis = Math.min(firstStartMillis, run.path("startedMillis").asLong());
      running |= run.path("endedMillis").asLong() == 0;
    }
  }

  private final JsonNode records;
  private final Map<String, RecordedRuns> runsByRequestKey = new HashMap<>();
  private final Map<LoadKind, Tally> tallies = new EnumMap<>(LoadKind.class);
  private final Map<String, Integer> reasons = new TreeMap<>();
  private int leftRunning;

  LoadReport(List<LoadOutcome> outcomes, JsonNode records) {
    this.records = records;
    for (JsonNode r : records.path("runs")) {
      String job = r.path("job").asText();
      // The job key of a keyless submit has more parts; the caller's request key is the last one.
      String requestKey = job.substring(job.lastIndexOf('/') + 1, job.lastIndexOf('#'));
      runsByRequestKey.computeIfAbsent(requestKey, k -> new RecordedRuns()).add(r);
    }
    for (LoadKind k : LoadKind.values()) {
      tallies.put(k, new Tally());
    }
    outcomes.forEach(this::count);
  }

  private void count(LoadOutcome outcome) {
    Tally tally = tallies.get(outcome.request().kind());
    RecordedRuns runs =
        runsByRequestKey.getOrDefault(outcome.request().requestKey(), new RecordedRuns());
    boolean answered = outcome.verdict() == Verdict.ANSWERED;
    // An answer that is not confirmed by the run records of the workers counts as lost.
    boolean supported =
        outcome.request().kind().isCancelled()
            || runs.successes.size() == outcome.request().kind().tasks;
    tally.submitted++;
    tally.answered += answered && supported ? 1 : 0;
    tally.refused += outcome.verdict() == Verdict.REFUSED ? 1 : 0;
    tally.lost += outcome.verdict() == Verdict.LOST || answered && !supported ? 1 : 0;
    tally.doubled += isDoubled(outcome, runs) ? 1 : 0;
    if (runs.running) {
      leftRunning++;
      reasons.merge(
          "LEFT RUNNING " + outcome.request().kind() + " " + outcome.verdict(), 1, Integer::sum);
    }
    if (answered && !runs.starts.isEmpty()) {
      tally.waitMillis.recordValue(Math.max(0, runs.firstStartMillis - outcome.submittedMillis()));
    }
    if (answered) {
      tally.totalMillis.recordValue(
          Math.max(0, outcome.answeredMillis() - outcome.submittedMillis()));
    } else {
      String reason = outcome.reason().replaceAll("[0-9]{2,}", "N");
      reasons.merge(
          outcome.verdict() + " " + outcome.request().kind() + ": " + reason, 1, Integer::sum);
    }
  }

  private static boolean isDoubled(LoadOutcome outcome, RecordedRuns runs) {
    boolean succeededTwice = runs.successes.values().stream().anyMatch(n -> n > 1);
    boolean restarted =
        !outcome.request().kind().repeatable && runs.starts.values().stream().anyMatch(n -> n > 1);
    boolean ranThoughRefused = outcome.verdict() == Verdict.REFUSED && !runs.starts.isEmpty();
    return succeededTwice || restarted || ranThoughRefused;
  }

  /** Prints a table by kind, the reasons and violations, and the totals on the last line. */
  LoadTool.Result print(PrintStream out) {
    out.println(
        "class            submitted answered  refused     lost  doubled"
            + "  wait p50     p99  answer p50     p99  ms");
    Tally sum = new Tally();
    tallies.forEach(
        (k, t) -> {
          out.printf(
              Locale.ROOT,
              "%-16s %9d %8d %8d %8d %8d %9d %7d %11d %7d%n",
              k,
              t.submitted,
              t.answered,
              t.refused,
              t.lost,
              t.doubled,
              t.waitMillis.getValueAtPercentile(50),
              t.waitMillis.getValueAtPercentile(99),
              t.totalMillis.getValueAtPercentile(50),
              t.totalMillis.getValueAtPercentile(99));
          sum.submitted += t.submitted;
          sum.answered += t.answered;
          sum.refused += t.refused;
          sum.lost += t.lost;
          sum.doubled += t.doubled;
        });
    reasons.forEach((reason, n) -> out.println(n + " x " + reason));
    StringBuilder line = new StringBuilder("platform: overlaps=" + recordedCount("overlaps"));
    int violations = 0;
    for (String name : VIOLATIONS) {
      violations += recordedCount(name);
      line.append(' ').append(name).append('=').append(recordedCount(name));
    }
    line.append(" leftRunning=").append(leftRunning);
    for (String name : List.of("storeCalls", "storeWrites", "workerCalls")) {
      line.append(' ').append(name).append('=').append(recordedCount(name));
    }
    out.println(line);
    int doubled = sum.doubled + recordedCount("overlaps");
    out.printf(
        Locale.ROOT,
        "submitted=%d answered=%d refused=%d lost=%d doubled=%d%n",
        sum.submitted,
        sum.answered,
        sum.refused,
        sum.lost,
        doubled);
    return new LoadTool.Result(
        sum.submitted, sum.answered, sum.refused, sum.lost, doubled, violations);
  }

  private int recordedCount(String name) {
    return records.path(name).asInt();
  }
}
