package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Plays a load of which an owner can send only a part: tasks that were placed without a limit
 * waited for seconds as orders, in the order of their placement, and occupied capacity meanwhile.
 */
class LimitedPassTest {

  private static final int MAX_STARTS = 4;

  @Test
  void urgentWorkThatArrivesLaterStartsBeforePlacedBacklog() {
    WorkflowFixture f = new WorkflowFixture();
    for (int i = 0; i < 20; i++) {
      f.submitWithoutPass("b" + i, "batch", WorkflowFixture.step(1, 1_000));
    }
    f.place(MAX_STARTS);
    assertThat(f.answerStarts(StartResult.PRESENT)).hasSize(MAX_STARTS);
    f.submitWithoutPass("u", "urgent", WorkflowFixture.step(1, 1_000));
    f.place(MAX_STARTS);
    List<WorkflowEffect.Start> starts = f.answerStarts(StartResult.PRESENT);
    assertThat(starts).hasSize(MAX_STARTS);
    assertThat(starts.get(0).task().workflow()).isEqualTo("u");
  }

  @Test
  void laterPassesStartEverythingThatFits() {
    WorkflowFixture f = new WorkflowFixture();
    for (int i = 0; i < 20; i++) {
      f.submitWithoutPass("b" + i, "batch", WorkflowFixture.step(1, 1_000));
    }
    int started = 0;
    for (int i = 0; i < 5; i++) {
      f.place(MAX_STARTS);
      started += f.answerStarts(StartResult.PRESENT).size();
    }
    assertThat(started).isEqualTo(20);
  }

  @Test
  void gangWiderThanTheLimitIsPlacedWhole() {
    WorkflowFixture f = new WorkflowFixture();
    f.submitWithoutPass("g", "batch", WorkflowFixture.gang(8, 1_000));
    f.place(MAX_STARTS);
    assertThat(f.answerStarts(StartResult.PRESENT)).hasSize(8);
  }
}
