package dev.dandelionport.core.journal;

import dev.dandelionport.core.testing.FixedTime;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Guards against partitions that take the same token of the instance's write budget. */
public class WriteBudgetLincheckTest {

  private final WriteBudget budget = new WriteBudget(new FixedTime());

  /** Empties the budget but for two tokens, so that the operations compete for them. */
  public WriteBudgetLincheckTest() {
    for (int i = 2; i < WriteBudget.MAX_TOKENS; i++) {
      budget.takeTokenOrWaitMillis();
    }
  }

  /** Takes a token. */
  @Operation
  public boolean take() {
    return budget.takeTokenOrWaitMillis() == 0;
  }

  /** Counts a placement. */
  @Operation
  public void recordPlacement() {
    budget.recordPlacements(1);
  }

  @Test
  void tokensAreLinearizable() {
    new ModelCheckingOptions()
        .iterations(20)
        .invocationsPerIteration(200)
        .threads(2)
        .actorsPerThread(3)
        .check(WriteBudgetLincheckTest.class);
  }
}
