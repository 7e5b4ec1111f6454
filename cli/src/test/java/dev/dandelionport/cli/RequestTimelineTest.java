package dev.dandelionport.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RequestTimelineTest {

  private static String logLine(int second, String event, String fields) {
    return "{\"time\":\"2026-01-01T00:00:0"
        + second
        + "Z\",\"level\":\"INFO\",\"message\":\"m\",\"event\":\""
        + event
        + "\","
        + fields
        + "}";
  }

  // Guards against output in the order of the files, which would show effects before their causes.
  @Test
  void linesOfSeveralProcessesAreSortedByTime() {
    RequestTimeline s = new RequestTimeline("ab12");
    s.add("two", logLine(3, "DP4008", "\"task\":\"ab12.0.0.1\""));
    s.add("one", logLine(1, "DP4008", "\"workflow\":\"ab12\""));
    s.add("one", logLine(2, "DP4009", "\"path\":\"/q/ab12\""));
    assertThat(s.format())
        .containsExactly(
            "  2026-01-01T00:00:01Z one DP4008 m workflow=ab12",
            "  2026-01-01T00:00:02Z one DP4009 m path=/q/ab12",
            "  2026-01-01T00:00:03Z two DP4008 m task=ab12.0.0.1");
  }

  // Guards against including lines of another request whose id contains the requested id.
  @Test
  void otherRequestsAreLeftOut() {
    RequestTimeline s = new RequestTimeline("ab12");
    s.add("one", logLine(1, "DP4008", "\"workflow\":\"ab123\""));
    s.add("one", logLine(1, "DP4008", "\"workflow\":\"0ab12\""));
    assertThat(s.format()).isEmpty();
  }

  // Guards against the requests of others in a line that lists many of them.
  @Test
  void onlyTheNamedRequestIsShownOfManyInOneLine() {
    RequestTimeline s = new RequestTimeline("ab12");
    String requests = "\"requests\":[\"path=/q/ab13 status=OK\",\"path=/q/ab12 status=INVALID\"]";
    s.add("one", logLine(1, "DP4010", "\"count\":2," + requests));
    assertThat(s.format())
        .containsExactly(
            "  2026-01-01T00:00:01Z one DP4010 m count=2 requests=path=/q/ab12 status=INVALID");
  }

  // Guards against a timeline that omits cell-wide events, such as a change of owner, which explain
  // the lines of the request.
  @Test
  void cellWideEventsInBetweenAreMarked() {
    RequestTimeline s = new RequestTimeline("ab12");
    s.add("one", logLine(1, "DP2015", "\"token\":3"));
    s.add("one", logLine(2, "DP4008", "\"workflow\":\"ab12\""));
    s.add("two", logLine(3, "DP2015", "\"token\":9"));
    s.add("two", logLine(4, "DP4008", "\"workflow\":\"ab12\""));
    assertThat(s.format())
        .hasSize(3)
        .element(1)
        .isEqualTo("* 2026-01-01T00:00:03Z two DP2015 m token=9");
  }

  // Guards against a command that fails on prefixes of log collectors, output of other programs or
  // truncated lines.
  @Test
  void linesWithoutEventsAreSkippedAndPrefixesNameTheProcess() {
    RequestTimeline s = new RequestTimeline("ab12");
    s.add("file", "ab12 is not JSON");
    s.add("file", "{\"time\":\"2026-01-01T00:00:01Z\",\"workflow\":\"ab12");
    s.add("file", "{\"time\":\"later\",\"workflow\":\"ab12\"}");
    s.add("file", "  12.5 edge-1 " + logLine(1, "DP4008", "\"workflow\":\"ab12\""));
    assertThat(s.format()).containsExactly("  2026-01-01T00:00:01Z edge-1 DP4008 m workflow=ab12");
  }

  // Guards against an exit status from which scripts cannot see whether the request was found.
  @Test
  void exitStatusShowsWhetherAnyLineMatched(@TempDir Path folder) throws Exception {
    Path log = folder.resolve("a.log");
    Files.write(log, List.of(logLine(1, "DP4008", "\"workflow\":\"ab12\"")));
    assertThat(Main.run(new String[] {"trace", "ab12", log.toString()})).isEqualTo(0);
    assertThat(Main.run(new String[] {"trace", "cd34", log.toString()})).isEqualTo(1);
    assertThat(Main.run(new String[] {"trace", "ab12"})).isEqualTo(2);
    assertThat(Main.run(new String[] {"trace", "ab12", folder + "/none"})).isEqualTo(2);
  }
}
