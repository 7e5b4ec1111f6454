package dev.dandelionport.standin.worker;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how the stand-in worker refuses and resumes attempts and counts violations. */
class StandInWorkerTest {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final RunLog log = new RunLog();
  private final StandInWorker worker =
      new StandInWorker(
          "worker-1",
          "fd-a",
          Map.of("slots", 1L, "milliCores", 1_000L),
          timer,
          log,
          new Checkpoints());

  @AfterEach
  void stopTimer() {
    timer.shutdownNow();
  }

  private ObjectNode command(String attempt, String payload) {
    ObjectNode c = JSON.createObjectNode().put("attempt", attempt).put("partition", "p");
    c.put("epoch", 1).put("incarnation", incarnation()).put("payload", payload);
    c.put("notAfterWorkerMillis", Long.MAX_VALUE).put("leaseMillis", 60_000);
    c.putObject("size").put("slots", 1).put("milliCores", 500);
    return c;
  }

  private JsonNode sync(ObjectNode q) {
    return worker.sync(q.put("epoch", 1).put("partition", "p").put("waitMillis", 0)).join();
  }

  private String incarnation() {
    return sync(JSON.createObjectNode().put("leaseMillis", 60_000)).path("incarnation").asText();
  }

  @Test
  void startOfAnEndedAttemptIsRefused() {
    // A duplicated start command would otherwise run the attempt a second time.
    ObjectNode c = command("t/k#0.1", "run=60000 once");
    assertThat(worker.start(c).path("accepted").asBoolean()).isTrue();
    assertThat(worker.start(c).path("accepted").asBoolean()).isTrue();
    worker.stop(c, "STOPPED");
    assertThat(worker.start(c).path("reason").asText()).isEqualTo("attempt has ended");
    assertThat(log.all()).hasSize(1);
  }

  @Test
  void startForAnEarlierIncarnationIsRefused() {
    // A start command in transit during a crash must not run on the restarted worker.
    ObjectNode c = command("t/k#0.1", "run=60000");
    worker.crash();
    assertThat(worker.start(c).path("reason").asText()).isEqualTo("other incarnation");
  }

  @Test
  void attemptsWithExpiredShortLeaseStopWhileOthersContinue() {
    // A short lease that is renewed for the full duration keeps an uncommitted task running.
    worker.start(command("t/long#0.1", "run=60000"));
    worker.start(command("t/short#0.1", "run=60000").put("leaseMillis", 0));
    worker.start(command("t/durable#0.1", "run=60000").put("leaseMillis", 0));
    ObjectNode q = renewal(Long.MAX_VALUE);
    q.putArray("durable").add("t/durable#0.1");
    sync(q);
    worker.tick();
    JsonNode running = sync(renewal(Long.MAX_VALUE)).path("running");
    assertThat(running).hasSize(2);
    assertThat(running.path(0).path("attempt").asText()).isEqualTo("t/long#0.1");
    assertThat(running.path(1).path("attempt").asText()).isEqualTo("t/durable#0.1");
  }

  @Test
  void lateRenewalDoesNotExtendLeases() {
    // A delayed sync of a former owner would keep a task running that is recorded as ended.
    worker.start(command("t/k#0.1", "run=60000").put("leaseMillis", 0));
    ObjectNode q = renewal(1);
    q.putArray("durable").add("t/k#0.1");
    sync(q);
    worker.tick();
    assertThat(sync(renewal(Long.MAX_VALUE)).path("running")).isEmpty();
  }

  private static ObjectNode renewal(long notAfter) {
    ObjectNode q = JSON.createObjectNode().put("leaseMillis", 60_000);
    return q.put("notAfterWorkerMillis", notAfter);
  }

  @Test
  void nextAttemptResumesFromTheCheckpoint() {
    // If a checkpoint loses progress, preempted jobs miss their deadlines.
    ObjectNode c = command("t/k#0.1", "run=100000");
    RunningTask t = new RunningTask(c, RunRecord.start("t/k#0.1", "w", "fd", 1_000), 0);
    assertThat(t.remainingMillis(11_000)).isEqualTo(90_000);
    t.throttle(50, 11_000);
    assertThat(t.remainingMillis(11_000)).isEqualTo(180_000);
    long done = t.doneMillis(31_000);
    RunningTask next = new RunningTask(c, RunRecord.start("t/k#0.2", "w", "fd", 40_000), done);
    assertThat(next.remainingMillis(40_000)).isEqualTo(80_000);
  }

  @Test
  void violationsOfInvariantsAreCounted() {
    // A check that never counts a violation would hide faults of the scheduler.
    worker.start(command("t/k#0.1", "run=60000 once"));
    worker.start(command("t/k#0.2", "run=60000 once"));
    assertThat(log.violations())
        .containsEntry("overlaps", 1)
        .containsEntry("restarts", 1)
        .containsEntry("overcommits", 1)
        .containsEntry("overLimit", 0);
    log.setLimit("t", 1, 1_000);
    log.setDrained("fd-a", true, 1_000);
    RunRecord early = RunRecord.start("t/e#0.1", "w", "fd-a", 4_000);
    RunRecord late = RunRecord.start("t/l#0.1", "w", "fd-a", 7_001);
    log.started(early, false, false, 1_000);
    assertThat(log.violations()).containsEntry("drainedStarts", 0).containsEntry("overLimit", 0);
    log.started(late, false, false, 1_000);
    assertThat(log.violations())
        .containsEntry("drainedStarts", 1)
        .containsEntry("leavingStarts", 1)
        .containsEntry("overLimit", 1);
  }
}
