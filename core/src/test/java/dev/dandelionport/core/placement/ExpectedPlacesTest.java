package dev.dandelionport.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.placement.ExpectedPlaces.Node;
import dev.dandelionport.core.placement.ExpectedPlaces.Release;
import java.util.List;
import org.junit.jupiter.api.Test;

class ExpectedPlacesTest {

  private static ResourceVector cores(long n) {
    return new ResourceVector(0, 0, 1_000 * n, 100 * n, 0);
  }

  // Guards against places counted twice, or before enough capacity is free on one runner.
  @Test
  void placesBecomeFreeAsRunsEnd() {
    Node first =
        new Node(cores(3), List.of(new Release(90, cores(4)), new Release(50, cores(1))), 9);
    Node second = new Node(cores(5), List.of(new Release(70, cores(4))), 9);
    assertThat(ExpectedPlaces.freeMillis(List.of(first, second), cores(4), 9, 10))
        .containsExactly(10L, 50L, 70L, 90L);
  }

  // Guards against a forecast beyond the limit of tasks per runner, or beyond what is asked for.
  @Test
  void limitsOfRunnerAndOfRequestHold() {
    Node n = new Node(cores(8), List.of(new Release(50, cores(8))), 3);
    assertThat(ExpectedPlaces.freeMillis(List.of(n), cores(4), 9, 10))
        .containsExactly(10L, 10L, 50L);
    assertThat(ExpectedPlaces.freeMillis(List.of(n, n), cores(4), 2, 10)).containsExactly(10L, 10L);
  }
}
