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

  /** Advances the time with one pass each 100 ms; returns the log entries on waiting steps. */
  private List<Map<String, Object>> entriesWithin(long millis) {
    List<Map<String, Object>> entries = new ArrayList<>();
    for (long end = fixture.now + millis; fixture.now < end; ) {
      fixture.now += PASS_MILLIS;
      fixture.effects.removeIf(e -> e instanceof LogEntry);
      fixture.place();
      for (WorkflowEffect e : fixture.effects) {
        if (e instanceof LogEntry n && n.topic() == Topic.WAITING) {
          Map<String, Object> entry = new HashMap<>();
          for (int i = 0; i < n.fields().size(); i += 2) {
            entry.put((String) n.fields().get(i), n.fields().get(i + 1));
          }
          entry.put("at", fixture.now - startMillis);
          entries.add(entry);
        }
      }
    }
    return entries;
  }

  /** Returns the next log entry on the first step of a workflow, which must appear within 10 s. */
  private Map<String, Object> nextEntry(String workflow) {
    for (int i = 0; i < 10_000 / PASS_MILLIS; i++) {
      for (Map<String, Object> entry : entriesWithin(PASS_MILLIS)) {
        if (entry.get("step").equals(workflow + ".0.0")) {
          return entry;
        }
      }
    }
    throw new AssertionError("no log entry on " + workflow);
  }

  /** Reconfigures the queue "batch" so that its steps need advice. */
  private void useAdvice() {
    Queue withoutAdvice = WorkflowFixture.policy(1, ResourceVector.ZERO).queues().get("batch");
    Queue withAdvice =
        new Queue(
            withoutAdvice.name(),
            withoutAdvice.host(),
            withoutAdvice.prefix(),
            withoutAdvice.timeoutMillis(),
            withoutAdvice.allowanceMillis(),
            withoutAdvice.priority(),
            withoutAdvice.service(),
            withoutAdvice.maxFailures(),
            withoutAdvice.slackFactor(),
            Optional.of(new Advice(50, 1, 1_000)),
            false);
    ClusterPolicy p = WorkflowFixture.policy(2, ResourceVector.ZERO);
    Map<String, Account> accounts = p.accounts();
    fixture.scheduler.setPolicy(
        new ClusterPolicy(2, Map.of("batch", withAdvice), Map.of(), accounts));
  }

  // Guards against a step that waits forever without a log entry, and against one that floods the
  // log.
  @Test
  void entriesAppearAfterTwoSecondsAndThenAtDoublingIntervals() {
    fixture.submit("w", "batch", WorkflowFixture.gang(5, 7_000));
    List<Map<String, Object>> entries = entriesWithin(20_000);
    assertThat(entries).extracting(l -> l.get("step")).containsOnly("w.0.0");
    assertThat(entries).extracting(l -> l.get("at")).hasSize(4);
    long[] earliest = {2_000, 4_000, 8_000, 16_000};
    for (int i = 0; i < earliest.length; i++) {
      assertThat((long) entries.get(i).get("at")).isBetween(earliest[i], earliest[i] + 1_200);
      assertThat(entries.get(i).get("waitedMillis")).isEqualTo(entries.get(i).get("at"));
    }
  }

  // Guards against a backlog that takes up the owner's time with log entries, and against omitted
  // entries that are not counted.
  @Test
  void entriesPerSecondAreLimitedAndTheRestIsCounted() {
    for (int i = 0; i < 100; i++) {
      fixture.submit("w" + i, "batch", WorkflowFixture.gang(5, 7_000));
    }
    List<Map<String, Object>> first = entriesWithin(2_100);
    assertThat(first).hasSize(5).allMatch(l -> l.get("leftOut").equals(95));
    assertThat(entriesWithin(10_000)).hasSizeBetween(40, 55);
  }

  // Guards against newer steps that use up the rate limit: the steps that have waited longest are
  // the ones that may be lost.
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

  // Guards against a log entry on a running step, and against a waiting time that includes an
  // earlier run.
  @Test
  void runTimeDoesNotCountAsWaitingTime() {
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    Start first = fixture.answerStarts(StartResult.PRESENT).get(0);
    assertThat(entriesWithin(5_000)).isEmpty();
    fixture.scheduler.setRunners(List.of());
    fixture.end(first, RunEnd.STOPPED, "");
    List<Map<String, Object>> entries = entriesWithin(3_000);
    assertThat(entries).hasSize(1);
    assertThat((long) entries.get(0).get("waitedMillis")).isBetween(2_000L, 2_600L);
  }

  // Guards against a log entry with another reason when the account's ceiling prevents the start.
  @Test
  void accountAtItsCeilingIsReported() {
    fixture.scheduler.setPolicy(WorkflowFixture.policy(2, new ResourceVector(0, 0, 2_500, 0, 0)));
    fixture.submit("runs", "batch", WorkflowFixture.step(2, 1_000));
    fixture.submit("w", "batch", WorkflowFixture.step(1, 1_000));
    Map<String, Object> entry = nextEntry("w");
    assertThat(entry).containsEntry("why", "its account is at its ceiling");
    assertThat(entry).containsEntry("ceilingAllows", 0);
  }

  // Guards against one reason for different causes: no free capacity, capacity reserved for urgent
  // work, and a task too large for any runner look the same from outside.
  @Test
  void kindsOfMissingCapacityAreDistinguished() {
    fixture.submit("full", "urgent", WorkflowFixture.step(1, 16_000));
    fixture.submit("runs", "urgent", WorkflowFixture.step(1, 100));
    fixture.submit("large", "batch", WorkflowFixture.step(1, 17_000));
    fixture.submit("kept", "batch", WorkflowFixture.step(1, 15_800));
    List<Map<String, Object>> entries = entriesWithin(2_600);
    assertThat(entries).extracting(l -> l.get("step")).containsExactly("kept.0.0", "large.0.0");
    assertThat(entries.get(1)).containsEntry("why", "it does not fit on empty runners either");
    assertThat(entries.get(0)).containsEntry("why", "the room is kept for urgent work");
    assertThat(entries.get(0))
        .containsEntry("fitAllowed", 0)
        .containsEntry("fitAllowedWithKept", 1);
    fixture.submit("fills", "urgent", WorkflowFixture.step(1, 15_000));
    assertThat(nextEntry("kept"))
        .containsEntry("why", "too little room")
        .containsEntry("fitEmpty", 2);
  }

  // A pass examines a limited number of steps; later ones wait regardless of free capacity. Guards
  // against an entry that gives another reason for that.
  @Test
  void stepNotReachedByPassIsReported() {
    fixture.submit("w", "batch", WorkflowFixture.gang(5, 7_000));
    fixture.now += PASS_MILLIS;
    for (int i = 0; i < 250; i++) {
      fixture.submit("urgent" + i, "urgent", WorkflowFixture.step(1, 17_000));
    }
    Map<String, Object> entry = nextEntry("w");
    assertThat(entry).containsEntry("why", "the pass ended before it");
    assertThat(entry).containsEntry("reached", false);
  }

  // Guards against runners that become unusable without a log entry that shows it.
  @Test
  void unusableRunnersAreCountedByReason() {
    fixture.draining.add("r1");
    fixture.updateRunners();
    fixture.scheduler.markUnresponsive("r2");
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    Map<String, Object> entry = nextEntry("w");
    assertThat(entry).containsEntry("why", "no runner can be used").containsEntry("usable", 0);
    assertThat(entry).containsEntry("unusable", "{draining=1, silent=1}");
  }

  // Guards against advice that is never requested, or never answered, without a log entry that
  // shows it.
  @Test
  void stateOfAdviceIsReported() {
    useAdvice();
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    assertThat(nextEntry("w")).containsEntry("why", "advice was not asked for yet");
    AdviceRequest request = fixture.scheduler.nextAdviceRequest(1_000).orElseThrow();
    Map<String, Object> entry = nextEntry("w");
    assertThat(entry).containsEntry("why", "advice is under way").containsEntry("asking", 1);
    fixture.updateTime();
    fixture.scheduler.handleAdvice(request.step(), List.of("r1", "r2"), Map.of("r1", "t"), 0);
    entry = nextEntry("w");
    assertThat(entry).containsEntry("why", "allowed runners with room have no ticket");
    assertThat(entry).containsEntry("allowed", 1).containsEntry("denied", 1);
    assertThat(entry).containsEntry("ticketed", 0).containsEntry("unasked", 0);
  }

  // Guards against a gang that needs all runners without advice and for which advice is never
  // requested.
  @Test
  void pendingAdviceOfGangIsReported() {
    useAdvice();
    fixture.submit("w", "batch", WorkflowFixture.gang(4, 7_000));
    assertThat(nextEntry("w")).containsEntry("why", "advice was not asked for yet");
    assertThat(fixture.scheduler.nextAdviceRequest(1_000)).isPresent();
    Map<String, Object> entry = nextEntry("w");
    assertThat(entry).containsEntry("why", "advice is under way").containsEntry("asking", 1);
    assertThat(entry).containsEntry("fitUnasked", 4).containsEntry("allowedPercent", 40L);
  }

  // Guards against a reason in the log that OPERATIONS.md does not explain.
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

  // Guards against a field of the log entry that EVENTS.md does not list.
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
