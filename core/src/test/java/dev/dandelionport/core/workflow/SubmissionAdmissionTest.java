package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.admission.Refusal;
import dev.dandelionport.core.admission.RefusalReason;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which submissions the scheduler refuses as impossible. */
class SubmissionAdmissionTest {

  private static final StepSpec TOO_LARGE = WorkflowFixture.step(1, 16_001);

  private final WorkflowFixture fixture = new WorkflowFixture();

  private Optional<RefusalReason> check(String id, StepSpec step) {
    return check(
        fixture, new WorkflowSpec(id, "batch", "a", "", List.of(step), Recurrence.ONCE, false));
  }

  private static Optional<RefusalReason> check(WorkflowFixture f, WorkflowSpec spec) {
    f.updateTime();
    return f.scheduler.refusalOf(spec).map(Refusal::reason);
  }

  @Test
  void impossibleWorkIsRefused() {
    // Guards against accepting work that waits until it is of no use.
    assertThat(check("w", TOO_LARGE)).contains(RefusalReason.NO_SUCH_RUNNER);
    assertThat(check("w", WorkflowFixture.gang(5, 8_000))).contains(RefusalReason.GANG_TOO_LARGE);
    assertThat(check("w", WorkflowFixture.gang(4, 8_000))).isEmpty();
    fixture.scheduler.setPolicy(WorkflowFixture.policy(2, new ResourceVector(0, 0, 7_999, 0, 0)));
    assertThat(check("w", WorkflowFixture.step(1, 8_000))).contains(RefusalReason.QUOTA_TOO_SMALL);
  }

  @Test
  void refusalLeavesNoTrace() {
    // Guards against a record or a start of a refused workflow.
    fixture.place();
    fixture.journal.clear();
    fixture.effects.clear();
    check("w", TOO_LARGE);
    fixture.place();
    assertThat(fixture.journal).isEmpty();
    assertThat(fixture.starts()).isEmpty();
    assertThat(fixture.scheduler.state("w")).isEmpty();
    assertThat(fixture.effects).hasSize(1);
  }

  @Test
  void acceptedIdIsNeverRefused() {
    // Guards against a refusal of a repeated submission, whatever it contains.
    fixture.submit("w", "batch", WorkflowFixture.step(1, 100));
    assertThat(check("w", TOO_LARGE)).isEmpty();
  }

  @Test
  void newOwnerRefusesNothingUntilTheRunnersHaveReported() {
    // Guards against a decision about a pool that is not known yet.
    WorkflowFixture owner = new WorkflowFixture(List.of());
    WorkflowSpec spec =
        new WorkflowSpec("w", "batch", "a", "", List.of(TOO_LARGE), Recurrence.ONCE, false);
    assertThat(check(owner, spec)).isEmpty();
    owner.report("r1", 1, List.of(), List.of());
    assertThat(check(owner, spec)).isEmpty();
    owner.report("r2", 1, List.of(), List.of());
    assertThat(check(owner, spec)).isPresent();
  }

  @Test
  void drainingRunnersStillMakeWorkPossible() {
    // Guards against refusing work for a pool that is away for a short time.
    fixture.draining.addAll(List.of("r1", "r2"));
    fixture.updateRunners();
    fixture.scheduler.setClosedDomains(java.util.Set.of("fd-r1", "fd-r2"));
    assertThat(check("w", WorkflowFixture.gang(4, 8_000))).isEmpty();
    fixture.scheduler.setRunners(List.of());
    assertThat(check("w", WorkflowFixture.gang(4, 8_000))).isEmpty();
  }

  @Test
  void recurringWorkIsNotRefused() {
    // Guards against a decision today about a pool of tomorrow.
    Recurrence daily = new Recurrence(5_000_000, 86_400_000, 10);
    assertThat(
            check(
                fixture, new WorkflowSpec("w", "batch", "a", "", List.of(TOO_LARGE), daily, false)))
        .isEmpty();
  }

  @Test
  void bestEffortTaskNeedsNoCoresOfItsOwn() {
    // Guards against refusing a task by processor time that it does not reserve.
    assertThat(check("w", StepSpecs.bestEffort(TOO_LARGE))).isEmpty();
  }
}
