package dev.dandelionport.core.journal;

import dev.dandelionport.core.testing.FixedTime;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/**
 * Fails if two partitions take the same token of the instance's write budget when they write
 * concurrently.
 */
public class WriteBudgetLincheckTest {

  private final WriteBudget budget = new WriteBudget(new FixedTime());

  /** Leaves two tokens in the budget, so that the operations compete for them. */
  public WriteBudgetLincheckTest() {
    for (int i = 2; i < WriteBudget.MAX_TOKENS; i++) {
      budget.takeTokenOrWaitMillis();
    }
  }

  /** Takes a token and returns whether there was one. */
  @Operation
  public boolean take() {
    return budget.takeTokenOrWaitMillis() == 0;
  }

  /** Records a placement. */
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
