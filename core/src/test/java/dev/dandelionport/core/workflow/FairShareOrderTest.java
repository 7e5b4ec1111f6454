package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Account;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Plays two accounts, each of which may submit two workflows a second, in a full cell. */
class FairShareOrderTest {

  /** Time after which the accounts are compared again, in milliseconds. */
  private static final long REFRESH_MILLIS = 60;

  private static final int CORES = 32;

  private final WorkflowFixture cell = new WorkflowFixture(true);

  @BeforeEach
  void setAccounts() {
    ClusterPolicy p = WorkflowFixture.policy(2, ResourceVector.ZERO);
    Map<String, Account> accounts =
        List.of("a", "b").stream()
            .collect(
                Collectors.toMap(x -> x, x -> new Account(x, List.of(), 2, ResourceVector.ZERO)));
    cell.scheduler.setPolicy(new ClusterPolicy(2, p.queues(), p.services(), accounts));
  }

  /** Submits a workflow of one step whose tasks take one core each. */
  private void submit(String account, String id, String queue, int tasks) {
    submit(account, id, queue, WorkflowFixture.step(tasks, 1_000));
  }

  private void submit(String account, String id, String queue, StepSpec step) {
    cell.updateTime();
    cell.scheduler.submit(
        new WorkflowSpec(id, queue, account, "", List.of(step), Recurrence.ONCE, false));
  }

  /** Fills the cell with urgent work of an account for some time and returns its runs. */
  private List<WorkflowEffect.Start> fill(String account) {
    submit(account, "full", "urgent", CORES);
    List<WorkflowEffect.Start> runs = startAndRun();
    assertThat(runs).hasSize(CORES);
    return runs;
  }

  /** Starts what fits and lets it run until most of it counts as recent use. */
  private List<WorkflowEffect.Start> startAndRun() {
    cell.place();
    List<WorkflowEffect.Start> runs = cell.answerStarts(StartResult.PRESENT);
    cell.now += 20_000;
    return runs;
  }

  /** Ends a run and returns the workflows of which a later pass starts a task. */
  private List<String> startedAfterEnd(WorkflowEffect.Start run) {
    cell.end(run, RunEnd.DONE, "");
    cell.now += REFRESH_MILLIS;
    cell.place();
    return cell.answerStarts(StartResult.PRESENT).stream().map(s -> s.task().workflow()).toList();
  }

  // Guards against an account that gets capacity back only after the earlier work of the account
  // that uses all of it.
  @Test
  void freedCapacityGoesToAccountBelowItsShare() {
    final List<WorkflowEffect.Start> runs = fill("a");
    submit("a", "a-waiting", "urgent", 4);
    cell.now += 10;
    submit("b", "b-waiting", "urgent", 1);
    assertThat(startedAfterEnd(runs.get(0))).containsExactly("b-waiting");
    assertThat(startedAfterEnd(runs.get(1))).containsExactly("a-waiting");
  }

  // Guards against a workflow that ranks behind for life because it came at a moment of high rate,
  // although its account uses nothing.
  @Test
  void workAboveTheRateRanksAsNormalBelowFairShare() {
    final List<WorkflowEffect.Start> runs = fill("a");
    submit("a", "a-waiting", "urgent", 4);
    cell.now += 10;
    for (int i = 0; i < 3; i++) {
      submit("b", "b" + i, "urgent", 1);
    }
    assertThat(startedAfterEnd(runs.get(0))).containsExactly("b0");
    assertThat(startedAfterEnd(runs.get(1))).containsExactly("b1");
    assertThat(startedAfterEnd(runs.get(2))).containsExactly("b2");
  }

  // Guards against work above the rate that starts before work of the same account within it.
  @Test
  void workAboveTheRateStaysBehindOtherWorkOfItsAccount() {
    final List<WorkflowEffect.Start> runs = fill("a");
    submit("a", "a-waiting", "urgent", 4);
    for (int i = 0; i < 3; i++) {
      submit("b", "b" + i, "urgent", 1);
    }
    startedAfterEnd(runs.get(0));
    startedAfterEnd(runs.get(1));
    cell.now += 500;
    submit("b", "b-later", "urgent", 1);
    assertThat(startedAfterEnd(runs.get(2))).containsExactly("b-later");
  }

  // Guards against a changed order where only one account waits.
  @Test
  void workAboveTheRateStaysBehindWhereOneAccountWaits() {
    final List<WorkflowEffect.Start> runs = fill("a");
    for (int i = 0; i < 3; i++) {
      submit("a", "a" + i, "urgent", 1);
    }
    assertThat(startedAfterEnd(runs.get(0))).containsExactly("a0");
    assertThat(startedAfterEnd(runs.get(1))).containsExactly("a1");
    cell.now += 500;
    submit("a", "a-later", "urgent", 1);
    assertThat(startedAfterEnd(runs.get(2))).containsExactly("a-later");
    assertThat(cell.scheduler.isOverFairShare("a")).isFalse();
  }

  /**
   * Submits urgent work of an account that uses most of the full cell, beside batch work of another
   * one of which six tasks may run. Returns how many of these are stopped for it.
   */
  private int countStopsForLargestAccount(int batchTasks) {
    StepSpec batch = WorkflowFixture.step(batchTasks, 1_000);
    submit("b", "b-batch", "batch", StepSpecs.limitedPerRunner(batch, 3));
    cell.place();
    assertThat(cell.answerStarts(StartResult.PRESENT)).hasSize(6);
    submit("a", "a-urgent", "urgent", CORES - 6);
    assertThat(startAndRun()).hasSize(CORES - 6);
    assertThat(cell.stops()).isEmpty();
    ResourceVector core = new ResourceVector(0, 0, 1_000, 100, 0);
    submit("a", "a-more", "urgent", StepSpecs.of(1, core, 60_000));
    cell.place();
    return cell.stops().size();
  }

  // Guards against runs of others that are stopped for an account that already uses most of the
  // cell.
  @Test
  void accountOverItsFairSharePreemptsNothing() {
    assertThat(countStopsForLargestAccount(CORES)).isZero();
    assertThat(cell.scheduler.isOverFairShare("a")).isTrue();
  }

  // Guards against urgent work that waits behind batch work of accounts that need nothing more.
  @Test
  void accountPreemptsWhereNoOtherWaits() {
    assertThat(countStopsForLargestAccount(6)).isPositive();
    assertThat(cell.scheduler.isOverFairShare("a")).isFalse();
  }
}
