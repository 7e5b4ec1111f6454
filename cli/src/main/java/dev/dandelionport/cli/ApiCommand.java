package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

/** Base class of the commands that call instances. */
abstract class ApiCommand implements Callable<Integer> {

  /** Interval at which waiting commands poll an instance, in milliseconds. */
  private static final long POLL_MILLIS = 100;

  @AirlineModule protected ApiOptions api = new ApiOptions();

  /** Prints the node as JSON if --json is given; otherwise runs {@code text}, which prints text. */
  protected void print(JsonNode n, Runnable text) {
    if (api.json()) {
      System.out.println(n.toPrettyString());
    } else {
      text.run();
    }
  }

  /** Prints the JSON path and message of each problem, one per line. */
  protected static void printProblems(JsonNode problems) {
    for (JsonNode p : problems) {
      System.out.println(p.path("path").asText() + ": " + p.path("message").asText());
    }
  }

  protected static void printChanges(JsonNode changes) {
    for (JsonNode c : changes) {
      String before = c.path("before").asText();
      String after = c.path("after").asText();
      String values = before.isEmpty() && after.isEmpty() ? "" : ": " + before + " -> " + after;
      System.out.println(
          "  " + c.path("kind").asText() + " " + c.path("subject").asText() + values);
    }
  }

  /** Returns the content of a file, or of standard input for {@code -}. */
  protected static byte[] read(String file) {
    try {
      return file.equals("-") ? System.in.readAllBytes() : Files.readAllBytes(Path.of(file));
    } catch (IOException e) {
      throw new CommandException(ExitStatus.USAGE, "cannot read " + file + ": " + e);
    }
  }

  protected static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitStatus.UNKNOWN, "interrupted");
    }
  }
}
