package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import dev.dandelionport.core.workflow.WorkflowEffect.LogEntry;
import dev.dandelionport.core.workflow.WorkflowEffect.Start;
import dev.dandelionport.core.workflow.WorkflowEffect.Topic;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class WaitLoggerTest {

  private static final long PASS_MILLIS = 100;

  private final WorkflowFixture fixture = new WorkflowFixture();
  private final long startMillis = fixture.now;

  /** Lets time go by with a pass each tenth of a second; returns the lines about waiting steps. */
  private List<Map<String, Object>> entriesWithin(long millis) {
    List<Map<String, Object>> lines = new ArrayList<>();
    for (long end = fixture.now + millis; fixture.now < end; ) {
      fixture.now += PASS_MILLIS;
      fixture.effects.removeIf(e -> e instanceof LogEntry);
      fixture.place();
      for (WorkflowEffect e : fixture.effects) {
        if (e instanceof LogEntry n && n.topic() == Topic.WAITING) {
          Map<String, Object> line = new HashMap<>();
          for (int i = 0; i < n.fields().size(); i += 2) {
            line.put((String) n.fields().get(i), n.fields().get(i + 1));
          }
          line.put("at", fixture.now - startMillis);
          lines.add(line);
        }
      }
    }
    return lines;
  }

  /** Returns the next line about the first step of a workflow, which must come within 10 s. */
  private Map<String, Object> nextEntry(String workflow) {
    for (int i = 0; i < 10_000 / PASS_MILLIS; i++) {
      for (Map<String, Object> l : entriesWithin(PASS_MILLIS)) {
        if (l.get("step").equals(workflow + ".0.0")) {
          return l;
        }
      }
    }
    throw new AssertionError("no line about " + workflow);
  }

  /** Makes the queue "batch" one whose runners must be asked about. */
  private void useAdvice() {
    Queue plain = WorkflowFixture.policy(1, ResourceVector.ZERO).queues().get("batch");
    Queue asking =
        new Queue(
            plain.name(),
            plain.host(),
            plain.prefix(),
            plain.timeoutMillis(),
            plain.allowanceMillis(),
            plain.priority(),
            plain.service(),
            plain.maxFailures(),
            plain.slackFactor(),
            Optional.of(new Advice(50, 1, 1_000)),
            false);
    ClusterPolicy p = WorkflowFixture.policy(2, ResourceVector.ZERO);
    Map<String, Account> accounts = p.accounts();
    fixture.scheduler.setPolicy(new ClusterPolicy(2, Map.of("batch", asking), Map.of(), accounts));
  }

  // Guards against a step that waits for ever without a line, and against one that fills the log.
  @Test
  void entriesAppearAfterTwoSecondsAndThenAtDoublingIntervals() {
    fixture.submit("w", "batch", WorkflowFixture.gang(5, 7_000));
    List<Map<String, Object>> lines = entriesWithin(20_000);
    assertThat(lines).extracting(l -> l.get("step")).containsOnly("w.0.0");
    assertThat(lines).extracting(l -> l.get("at")).hasSize(4);
    long[] earliest = {2_000, 4_000, 8_000, 16_000};
    for (int i = 0; i < earliest.length; i++) {
      assertThat((long) lines.get(i).get("at")).isBetween(earliest[i], earliest[i] + 1_200);
      assertThat(lines.get(i).get("waitedMillis")).isEqualTo(lines.get(i).get("at"));
    }
  }

  // A backlog must not take the owner's time, and what has no line must be counted.
  @Test
  void entriesPerSecondAreLimitedAndTheRestIsCounted() {
    for (int i = 0; i < 100; i++) {
      fixture.submit("w" + i, "batch", WorkflowFixture.gang(5, 7_000));
    }
    List<Map<String, Object>> first = entriesWithin(2_100);
    assertThat(first).hasSize(5).allMatch(l -> l.get("leftOut").equals(95));
    assertThat(entriesWithin(10_000)).hasSizeBetween(40, 55);
  }

  // Steps that wait longest are the ones that may be lost; newer ones must not hide them.
  @Test
  void stepThatWaitedLongestComesFirst() {
    fixture.submit("old", "batch", WorkflowFixture.gang(5, 7_000));
    fixture.now += 1_000;
    for (int i = 0; i < 100; i++) {
      fixture.submit("new" + i, "urgent", WorkflowFixture.step(1, 17_000));
    }
    fixture.now += 2_000;
    assertThat(entriesWithin(PASS_MILLIS).get(0)).containsEntry("step", "old.0.0");
  }

  // Guards against a line about a step that runs, and one whose time counts an earlier run.
  @Test
  void runTimeDoesNotCountAsWaitingTime() {
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    Start first = fixture.answerStarts(StartResult.PRESENT).get(0);
    assertThat(entriesWithin(5_000)).isEmpty();
    fixture.scheduler.setRunners(List.of());
    fixture.end(first, RunEnd.STOPPED, "");
    List<Map<String, Object>> lines = entriesWithin(3_000);
    assertThat(lines).hasSize(1);
    assertThat((long) lines.get(0).get("waitedMillis")).isBetween(2_000L, 2_600L);
  }

  // Guards against a line that names a cause other than the ceiling that the placement stops at.
  @Test
  void accountAtItsCeilingIsReported() {
    fixture.scheduler.setPolicy(WorkflowFixture.policy(2, new ResourceVector(0, 0, 2_500, 0, 0)));
    fixture.submit("runs", "batch", WorkflowFixture.step(2, 1_000));
    fixture.submit("w", "batch", WorkflowFixture.step(1, 1_000));
    Map<String, Object> line = nextEntry("w");
    assertThat(line).containsEntry("why", "its account is at its ceiling");
    assertThat(line).containsEntry("ceilingAllows", 0);
  }

  // Room that is full, room that is kept for urgent work, and work that is too large for any
  // runner look the same from outside.
  @Test
  void kindsOfMissingCapacityAreDistinguished() {
    fixture.submit("full", "urgent", WorkflowFixture.step(1, 16_000));
    fixture.submit("runs", "urgent", WorkflowFixture.step(1, 100));
    fixture.submit("large", "batch", WorkflowFixture.step(1, 17_000));
    fixture.submit("kept", "batch", WorkflowFixture.step(1, 15_800));
    List<Map<String, Object>> lines = entriesWithin(2_600);
    assertThat(lines).extracting(l -> l.get("step")).containsExactly("kept.0.0", "large.0.0");
    assertThat(lines.get(1)).containsEntry("why", "it does not fit on empty runners either");
    assertThat(lines.get(0)).containsEntry("why", "the room is kept for urgent work");
    assertThat(lines.get(0)).containsEntry("fitAllowed", 0).containsEntry("fitAllowedWithKept", 1);
    fixture.submit("fills", "urgent", WorkflowFixture.step(1, 15_000));
    assertThat(nextEntry("kept"))
        .containsEntry("why", "too little room")
        .containsEntry("fitEmpty", 2);
  }

  // A pass looks at a bounded number of steps; what comes later waits whatever room there is.
  @Test
  void stepNotReachedByPassIsReported() {
    fixture.submit("w", "batch", WorkflowFixture.gang(5, 7_000));
    fixture.now += PASS_MILLIS;
    for (int i = 0; i < 250; i++) {
      fixture.submit("urgent" + i, "urgent", WorkflowFixture.step(1, 17_000));
    }
    Map<String, Object> line = nextEntry("w");
    assertThat(line).containsEntry("why", "the pass ended before it");
    assertThat(line).containsEntry("reached", false);
  }

  // Guards against runners that drop out of use without a line that says so.
  @Test
  void unusableRunnersAreCountedByReason() {
    fixture.draining.add("r1");
    fixture.updateRunners();
    fixture.scheduler.markUnreachable("r2");
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    Map<String, Object> line = nextEntry("w");
    assertThat(line).containsEntry("why", "no runner can be used").containsEntry("usable", 0);
    assertThat(line).containsEntry("unusable", "{draining=1, silent=1}");
  }

  // Guards against advice that is never asked for, or never answered, without a line that says so.
  @Test
  void stateOfAdviceIsReported() {
    useAdvice();
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    assertThat(nextEntry("w")).containsEntry("why", "advice was not asked for yet");
    AdviceRequest ask = fixture.scheduler.nextAdviceRequest(1_000).orElseThrow();
    Map<String, Object> line = nextEntry("w");
    assertThat(line).containsEntry("why", "advice is under way").containsEntry("asking", 1);
    fixture.updateTime();
    fixture.scheduler.handleAdvice(ask.step(), List.of("r1", "r2"), Map.of("r1", "t"), 0);
    line = nextEntry("w");
    assertThat(line).containsEntry("why", "allowed runners with room have no ticket");
    assertThat(line).containsEntry("allowed", 1).containsEntry("denied", 1);
    assertThat(line).containsEntry("ticketed", 0).containsEntry("unasked", 0);
  }

  // A gang that may need every runner it was not told about was never asked about.
  @Test
  void pendingAdviceOfGangIsReported() {
    useAdvice();
    fixture.submit("w", "batch", WorkflowFixture.gang(4, 7_000));
    assertThat(nextEntry("w")).containsEntry("why", "advice was not asked for yet");
    assertThat(fixture.scheduler.nextAdviceRequest(1_000)).isPresent();
    Map<String, Object> line = nextEntry("w");
    assertThat(line).containsEntry("why", "advice is under way").containsEntry("asking", 1);
    assertThat(line).containsEntry("fitUnasked", 4).containsEntry("allowedPercent", 40L);
  }

  // Guards against a reason in the log that the operators' page does not explain.
  @Test
  void operationsPageExplainsEveryReason() throws IOException {
    List<String> reasons =
        Files.readAllLines(Path.of("..", "docs", "OPERATIONS.md")).stream()
            .dropWhile(l -> !l.equals("## A workflow waits"))
            .dropWhile(l -> !l.startsWith("| Reason"))
            .takeWhile(l -> l.startsWith("|"))
            .filter(l -> l.startsWith("| `"))
            .map(l -> l.substring(3, l.indexOf('`', 3)))
            .toList();
    assertThat(reasons)
        .containsExactlyElementsOf(Arrays.stream(WaitReason.values()).map(r -> r.text()).toList());
  }

  // Guards against a field of the line that the catalogue does not explain.
  @Test
  void eventCatalogueExplainsEveryField() throws IOException {
    useAdvice();
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    Set<String> fields = new TreeSet<>(nextEntry("w").keySet());
    fields.remove("at");
    List<String> listed =
        Files.readAllLines(Path.of("..", "docs", "EVENTS.md")).stream()
            .dropWhile(l -> !l.equals("## Waiting steps"))
            .skip(1)
            .takeWhile(l -> !l.startsWith("## "))
            .filter(l -> l.startsWith("| ") && !l.startsWith("| Field"))
            .flatMap(l -> Arrays.stream(l.split("\\|")[1].strip().split(", ")))
            .toList();
    assertThat(listed).containsExactlyInAnyOrderElementsOf(fields);
  }
}
