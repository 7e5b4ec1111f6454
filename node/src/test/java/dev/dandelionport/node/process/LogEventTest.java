package dev.dandelionport.node.process;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.engine.EngineEvent;
import dev.dandelionport.core.scheduler.JobPhase;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compares the log events with their documentation and checks how they are logged. */
class LogEventTest {

  // Guards against docs/EVENTS.md that lacks an event, lists a removed one or has an outdated text.
  @Test
  void catalogueAndEventsAreEqual() throws IOException {
    List<List<String>> rows =
        Files.readAllLines(Path.of("..", "docs", "EVENTS.md")).stream()
            .filter(l -> l.startsWith("| DP"))
            .map(l -> Arrays.stream(l.split("\\|")).map(String::strip).toList())
            .map(c -> c.subList(1, 5))
            .toList();
    List<List<String>> events =
        Arrays.stream(LogEvent.values())
            .map(e -> List.of(e.number(), e.level().name(), e.text(), intervalText(e)))
            .toList();
    assertThat(rows).containsExactlyElementsOf(events);
    assertThat(events.stream().map(e -> e.get(0))).doesNotHaveDuplicates();
  }

  // Guards against docs/OPERATIONS.md that lacks an alert code or lists one that does not exist.
  @Test
  void operatorsPageHasEveryAlertCode() throws IOException {
    List<String> codes =
        Files.readAllLines(Path.of("..", "docs", "OPERATIONS.md")).stream()
            .map(l -> l.split("\\|"))
            .filter(c -> c.length > 4 && c[2].strip().equals("DP5002 with this code"))
            .map(c -> c[1].strip().replace("`", ""))
            .toList();
    assertThat(codes)
        .containsExactlyElementsOf(
            Arrays.stream(AlertCode.values()).map(AlertCode::toString).toList());
  }

  private static String intervalText(LogEvent e) {
    return e.minIntervalMillis() == 0 ? "no limit" : e.minIntervalMillis() + " ms";
  }

  // Guards against event data that is only in the message text, where log tools cannot filter by
  // it.
  @Test
  void engineEventsAreLoggedWithTypedFields() {
    try (CapturedLog lines = new CapturedLog()) {
      PartitionId p = PartitionId.parse("tallinn-0");
      new EngineEventLog().accept(new EngineEvent.PartitionOpened(p, 3, 1_200, 340));
      assertThat(lines.last())
          .containsEntry("event", "DP2005")
          .containsEntry("level", "INFO")
          .containsEntry("message", "partition is served")
          .containsEntry("partition", "tallinn-0")
          .containsEntry("epoch", 3)
          .containsEntry("openMillis", 340);
    }
  }

  // Guards against one frequent event that fills the platform's log storage, and against a rate
  // limit that suppresses other events.
  @Test
  void repeatedEventIsLimitedAndOthersAreNot() {
    try (CapturedLog lines = new CapturedLog()) {
      EngineEventLog log = new EngineEventLog();
      for (int i = 0; i < 10_000; i++) {
        log.accept(new EngineEvent.StoreCall("compareAndSwap", false, 1_000));
      }
      int afterFlood = lines.count("DP5003");
      log.accept(new EngineEvent.LeaseLost());
      assertThat(afterFlood).isBetween(1, 10);
      assertThat(lines.count("DP2002")).isEqualTo(1);
    }
  }

  // Guards against failed jobs that are only visible at debug level.
  @Test
  void failedJobIsLoggedAsWarningAndFinishedJobIsNot() {
    JobKey k = new JobKey(new TeamId("desk"), "r1");
    assertThat(EngineEventLog.toLogEvent(endedEvent(k, JobPhase.UNKNOWN)))
        .isEqualTo(LogEvent.JOB_FAILED);
    assertThat(EngineEventLog.toLogEvent(endedEvent(k, JobPhase.SUCCEEDED)))
        .isEqualTo(LogEvent.JOB_ENDED);
    Map<String, Object> fields = EngineEventLog.fields(endedEvent(k, JobPhase.UNKNOWN));
    assertThat(fields).containsEntry("job", "desk/r1").containsEntry("phase", "UNKNOWN");
  }

  private static EngineEvent endedEvent(JobKey k, JobPhase phase) {
    return new EngineEvent.JobEnded(k, WorkloadClass.URGENT, phase, 5);
  }
}
