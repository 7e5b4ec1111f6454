package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.StepSpecs;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import dev.dandelionport.core.workflow.ClusterPolicy.Queue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests how the first answers of the advice service affect later calls. */
class FirstAdviceTest {

  private static final ResourceVector CAPACITY = new ResourceVector(0, 0, 16_000, 32_000, 0);

  private final WorkflowScheduler scheduler =
      new WorkflowScheduler(new WorkflowLimits(3_000, 200, 3, 2_000, 120_000));

  FirstAdviceTest() {
    Queue q =
        new Queue(
            "gangs",
            "host",
            "/",
            3_000,
            250,
            1,
            "svc",
            3,
            2,
            Optional.of(new Advice(300, 5, 2_500)),
            false);
    scheduler.setTime(1_000, 1_000);
    scheduler.setPolicy(new ClusterPolicy(1, Map.of("gangs", q), Map.of(), Map.of()));
    List<RunnerDescription> list = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      String id = "r" + i;
      list.add(
          new RunnerDescription(id, 1, "svc", id, "fd", CAPACITY, List.of("kind", "rack"), false));
    }
    scheduler.setRunners(list);
    list.forEach(
        r -> scheduler.report(r.id(), new RunnerReport(1, 1, List.of(), List.of(), true), 1_000));
  }

  private Optional<AdviceRequest> submit(String id) {
    ResourceVector size = new ResourceVector(0, 0, 4_000, 100, 0);
    List<StepSpec> steps = List.of(StepSpecs.gang(2, size, 1_000));
    scheduler.submit(new WorkflowSpec(id, "gangs", "", "", steps, Recurrence.ONCE, false));
    scheduler.place();
    return scheduler.nextAdviceRequest(1_000);
  }

  // Guards against an expected fraction of allowed runners that the first answer alone determines:
  // if that allowed no runner, advice was never requested again for any gang of the queue, even in
  // an empty cell.
  @Test
  void adviceIsRequestedForGangsAfterFirstAnswerAllowsNoRunner() {
    AdviceRequest first = submit("w1").orElseThrow();
    scheduler.handleAdvice(first.step(), first.runners(), Map.of(), 2_500);
    assertThat(submit("w2")).isPresent();
  }
}
