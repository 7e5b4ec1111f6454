package dev.dandelionport.standin.worker;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Future;

/** Task on a stand-in worker. Its progress is simulated run time, slowed by a throttle. */
final class RunningTask {

  private static final long DEFAULT_RUN_MILLIS = 20;
  private static final int FULL_PERCENT = 100;

  final JsonNode command;
  final RunRecord record;

  /** Duration of each lease renewal. */
  long leaseMillis;

  long leaseUntilMillis;

  /** The scheduled end of the task. */
  Future<?> scheduledEnd;

  private final long totalMillis;
  private long doneMillis;
  private long progressUpdatedMillis;
  private int percent = FULL_PERCENT;

  RunningTask(JsonNode command, RunRecord record, long doneMillis) {
    this.command = command;
    this.record = record;
    this.leaseMillis = command.path("leaseMillis").asLong();
    this.leaseUntilMillis = record.startedMillis() + leaseMillis;
    this.doneMillis = doneMillis;
    this.progressUpdatedMillis = record.startedMillis();
    this.totalMillis = runMillis(payload());
  }

  private static long runMillis(String payload) {
    for (String word : payload.split(" ")) {
      if (word.startsWith("run=")) {
        return Long.parseLong(word.substring("run=".length()));
      }
    }
    return DEFAULT_RUN_MILLIS;
  }

  String payload() {
    return command.path("payload").asText();
  }

  boolean hasWord(String word) {
    return (" " + payload() + " ").contains(" " + word + " ");
  }

  /** Returns the completed run time; throttled time counts in proportion to the speed. */
  long doneMillis(long now) {
    doneMillis += (now - progressUpdatedMillis) * percent / FULL_PERCENT;
    progressUpdatedMillis = now;
    return doneMillis;
  }

  /** Sets the speed of the task, in percent of full speed. */
  void throttle(int newPercent, long now) {
    doneMillis(now);
    percent = Math.max(1, Math.min(FULL_PERCENT, newPercent));
  }

  /** Returns the remaining run time at the current speed. */
  long remainingMillis(long now) {
    return Math.max(0, totalMillis - doneMillis(now)) * FULL_PERCENT / percent;
  }

  long size(String resource) {
    return command.path("size").path(resource).asLong();
  }

  /** Returns the simulated usage; a throttle reduces only the CPU usage. */
  long usage(String resource) {
    long declared = size(resource);
    return resource.equals("milliCores") ? declared * percent / FULL_PERCENT : declared;
  }
}
