package dev.dandelionport.core.common;

import java.util.ArrayList;
import java.util.List;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Fails if two threads modify the state of a shard at the same time. */
public class ShardLincheckTest {

  private final Shard shard =
      new Shard(
          e -> {
            throw e;
          });
  private final List<Integer> values = new ArrayList<>();
  private int next;

  /** Appends the next number and returns it. */
  @Operation
  public int append() {
    return shard.call(
        () -> {
          values.add(next);
          return next++;
        });
  }

  /** Appends from an outgoing call that re-enters the shard. */
  @Operation
  public int appendAfterwards() {
    int[] appended = new int[1];
    shard.run(() -> shard.runAfterUnlock(() -> appended[0] = append()));
    return appended[0];
  }

  /** Returns the number of appended values. */
  @Operation
  public int size() {
    return shard.call(values::size);
  }

  @Test
  void callsAreLinearizable() {
    new ModelCheckingOptions()
        .iterations(20)
        .invocationsPerIteration(200)
        .threads(2)
        .actorsPerThread(3)
        .check(ShardLincheckTest.class);
  }
}
