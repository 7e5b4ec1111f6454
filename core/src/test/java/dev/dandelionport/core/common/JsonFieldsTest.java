package dev.dandelionport.core.common;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonFieldsTest {

  private final JsonProblems problems = new JsonProblems();

  private List<Long> range(String json) {
    return problems
        .parse(json.getBytes(StandardCharsets.UTF_8))
        .orElseThrow()
        .numbers("range", 2, 1, 65_535);
  }

  // Fails if an array of numbers is read in another order or truncated.
  @Test
  void numbersAreReadInOrder() {
    assertThat(range("{\"range\":[7420,7435]}")).containsExactly(7_420L, 7_435L);
    assertThat(problems.list()).isEmpty();
  }

  // Fails if an invalid array of numbers is not reported as exactly one problem, or if reading it
  // throws.
  @ParameterizedTest
  @ValueSource(strings = {"{}", "{\"range\":5}", "{\"range\":[1]}", "{\"range\":[0,\"x\"]}"})
  void invalidArrayOfNumbersIsReportedAsOneProblem(String json) {
    assertThat(range(json)).isEmpty();
    assertThat(problems.list()).hasSize(1);
  }
}
