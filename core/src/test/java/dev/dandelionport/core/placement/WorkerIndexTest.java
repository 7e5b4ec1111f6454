package dev.dandelionport.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.placement.WorkerIndex.CapacityKind;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests the search for a worker. */
class WorkerIndexTest {

  private static final ResourceVector ONE = new ResourceVector(1, 1, 1, 1, 1);

  private static WorkerInfo worker(int i, int domains) {
    WorkerId id = new WorkerId("w" + i);
    return new WorkerInfo(id, "r", "d" + i % domains, "k" + i / 4, "", 0, ONE, false);
  }

  /**
   * Guards against overlooking a worker with enough capacity, and against selecting one without,
   * after any order of capacity changes.
   */
  @Property(tries = 300, seed = "3")
  void findsOneWorkerExactlyWhenAnyHasEnoughOfEveryResource(
      @ForAll @IntRange(min = 1, max = 40) int n,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    WorkerIndex index = new WorkerIndex();
    List<WorkerInfo> fleet = IntStream.range(0, n).mapToObj(i -> worker(i, 3)).toList();
    index.rebuild(fleet);
    Map<WorkerId, ResourceVector> capacities = new HashMap<>();
    for (int step = 0; step < 100; step++) {
      WorkerId changed = fleet.get(random.nextInt(n)).id();
      ResourceVector capacity = random.nextInt(5) == 0 ? null : vector(random);
      index.setCapacity(changed, CapacityKind.FREE, capacity);
      capacities.put(changed, capacity);
      ResourceVector size = vector(random);
      var found = index.find(CapacityKind.FREE, size, List.of(changed));
      boolean expected =
          capacities.entrySet().stream()
              .anyMatch(
                  e ->
                      e.getValue() != null
                          && size.fitsIn(e.getValue())
                          && !e.getKey().equals(changed));
      assertThat(found.isPresent()).isEqualTo(expected);
      found.ifPresent(w -> assertThat(size.fitsIn(capacities.get(w))).isTrue());
    }
  }

  private static ResourceVector vector(Random r) {
    return new ResourceVector(r.nextInt(4), r.nextInt(4), r.nextInt(4), r.nextInt(4), r.nextInt(2));
  }

  /**
   * Guards against an unnoticed increase of the search cost because some comparisons are not
   * counted.
   */
  @Test
  void everyComparisonIsCounted() {
    WorkerIndex index = new WorkerIndex();
    index.rebuild(List.of(worker(0, 1), worker(1, 1)));
    index.setCapacity(new WorkerId("w1"), CapacityKind.FREE, ONE);
    assertThat(index.find(CapacityKind.FREE, ONE, List.of())).contains(new WorkerId("w1"));
    assertThat(index.comparisons()).isEqualTo(3);
    assertThat(index.searches()).isEqualTo(1);
  }
}
