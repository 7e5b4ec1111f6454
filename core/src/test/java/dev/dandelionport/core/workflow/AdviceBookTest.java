package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.testing.Steps;
import dev.dandelionport.core.workflow.ClusterPolicy.Advice;
import org.junit.jupiter.api.Test;

class AdviceBookTest {

  private static final Advice LARGE = new Advice(380, 5.5, 2_500);

  /** A task of which a runner takes one. */
  private static final ResourceVector WHOLE = new ResourceVector(0, 0, 58_000, 17_392, 0);

  // A call named all runners whose tickets had ended and further ones besides; the service refused
  // it for its length, and the same call was made again and again.
  @Test
  void noCallNamesMoreRunnersThanTheServiceAccepts() {
    AdviceSimulation cell =
        new AdviceSimulation(250, 2, LARGE, AdviceSimulation.allowPart(0.55, 1));
    cell.submit("gang", AdviceSimulation.ADVISED, Steps.gang(95, WHOLE, 5_000));
    cell.run(1_500);
    // Urgent work takes the room until the first tickets have ended.
    cell.submit("urgent", AdviceSimulation.URGENT, Steps.of(250, WHOLE, 3_000));
    cell.run(3_000);
    cell.end("urgent");
    cell.run(20_000);
    assertThat(cell.refused).isZero();
    assertThat(cell.running("gang")).hasSize(95);
  }
}
