package dev.dandelionport.node.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.dandelionport.core.dispatch.DispatchTopic;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests how the events that name requests are logged in batches. */
class DispatchLogTest {

  private static final int MAX_REQUESTS = 200;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Queue<Runnable> timeouts = new ArrayDeque<>();
  private final DispatchLog log =
      new DispatchLog(
          (delayMillis, action) -> {
            assertThat(delayMillis).isEqualTo(20);
            timeouts.add(action);
          });

  private void answer(int request) {
    log.write(
        DispatchTopic.REQUEST_ANSWERED,
        Map.of("path", "/q/w" + request + ".", "status", "INVALID"));
  }

  private static List<JsonNode> events(CapturedLog lines, String number) {
    List<JsonNode> events = new ArrayList<>();
    for (String l : lines.all()) {
      try {
        JsonNode e = JSON.readTree(l);
        if (e.path("event").asText().equals(number)) {
          events.add(e);
        }
      } catch (JsonProcessingException e) {
        throw new AssertionError("line is not JSON", e);
      }
    }
    return events;
  }

  /** Asserts that each of the requests 0 to {@code count - 1} is in exactly one line. */
  private static void assertEachLoggedOnce(CapturedLog lines, int count) {
    String all = String.join("", lines.all());
    for (int i = 0; i < count; i++) {
      assertThat(all.split("/q/w" + i + "\\.", -1)).hasSize(2);
    }
  }

  // A limit of one line in 20 ms dropped the ids of most requests at a change of the owner.
  @Test
  void burstIsLoggedInTwoLinesThatNameEachRequest() {
    try (CapturedLog lines = new CapturedLog()) {
      IntStream.range(0, 50).forEach(this::answer);
      assertThat(events(lines, "DP4010")).hasSize(1);
      timeouts.remove().run();
      List<JsonNode> events = events(lines, "DP4010");
      assertThat(events).hasSize(2);
      assertThat(events.get(0).path("path").asText()).isEqualTo("/q/w0.");
      assertThat(events.get(1).path("count").asInt()).isEqualTo(49);
      assertThat(events.get(1).path("requests").size()).isEqualTo(49);
      assertThat(events.get(1).path("requests").get(0).asText())
          .contains("path=/q/w1.", "status=INVALID");
      assertEachLoggedOnce(lines, 50);
    }
  }

  // Guards against a batch that grows without a bound while the timer is late.
  @Test
  void fullBatchIsLoggedAtOnce() {
    try (CapturedLog lines = new CapturedLog()) {
      int count = 1 + 3 * MAX_REQUESTS;
      IntStream.range(0, count).forEach(this::answer);
      List<JsonNode> events = events(lines, "DP4010");
      assertThat(events).hasSize(4);
      assertThat(events.subList(1, 4)).allMatch(e -> e.path("requests").size() == MAX_REQUESTS);
      assertThat(timeouts).hasSize(1);
      assertEachLoggedOnce(lines, count);
    }
  }

  // Guards against one line for each request of a burst that goes on, and against a delay of the
  // first line after it.
  @Test
  void intervalsFollowEachOtherUntilOneIsQuiet() {
    try (CapturedLog lines = new CapturedLog()) {
      answer(0);
      answer(1);
      timeouts.remove().run();
      assertThat(events(lines, "DP4010")).hasSize(2);
      answer(2);
      assertThat(events(lines, "DP4010")).hasSize(2);
      timeouts.remove().run();
      assertThat(events(lines, "DP4010")).hasSize(3);
      timeouts.remove().run();
      assertThat(timeouts).isEmpty();
      answer(3);
      assertThat(events(lines, "DP4010")).hasSize(4);
      assertThat(timeouts).hasSize(1);
      assertEachLoggedOnce(lines, 4);
    }
  }

  // Guards against requests that are dropped when the process stops, whose timer may have ended.
  @Test
  void closedLogHasEachRequestAndBatchesNoMore() {
    try (CapturedLog lines = new CapturedLog()) {
      IntStream.range(0, 3).forEach(this::answer);
      log.close();
      assertThat(events(lines, "DP4010")).hasSize(2);
      answer(3);
      answer(4);
      assertThat(events(lines, "DP4010")).hasSize(4);
      timeouts.remove().run();
      assertEachLoggedOnce(lines, 5);
    }
  }

  // Guards against a request that is lost or logged twice between threads.
  @Test
  void requestsOfSeveralThreadsAreEachLoggedOnce() throws InterruptedException {
    ExecutorService threads = Executors.newFixedThreadPool(4);
    try (CapturedLog lines = new CapturedLog()) {
      IntStream.range(0, 2_000).forEach(i -> threads.execute(() -> answer(i)));
      threads.shutdown();
      assertThat(threads.awaitTermination(1, TimeUnit.MINUTES)).isTrue();
      log.close();
      assertEachLoggedOnce(lines, 2_000);
    }
  }

  // Guards against a topic whose batches delay or hide those of another one.
  @Test
  void topicsHaveBatchesOfTheirOwnAndOtherEventsAreLoggedAtOnce() {
    try (CapturedLog lines = new CapturedLog()) {
      answer(0);
      log.write(DispatchTopic.REQUEST_REFUSED, Map.of("path", "/q/w1.", "why", "r"));
      log.write(DispatchTopic.DECISION, Map.of("decision", "ACCEPTED"));
      log.write(DispatchTopic.DECISION, Map.of("decision", "CLOSED"));
      assertThat(events(lines, "DP4010")).hasSize(1);
      assertThat(events(lines, "DP4009")).hasSize(1);
      assertThat(events(lines, "DP4008")).hasSize(2);
      assertThat(timeouts).hasSize(2);
    }
  }
}
