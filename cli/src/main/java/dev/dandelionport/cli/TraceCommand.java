package dev.dandelionport.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

/** Prints the log lines of several processes that concern one request, sorted by time. */
@Command(
    name = "trace",
    description = "Prints the log lines that concern a request, sorted by time")
public final class TraceCommand implements Callable<Integer> {

  @Arguments(
      title = {"id", "file"},
      description = "Id of the request, then log files of one or more processes")
  @Required
  private List<String> arguments;

  @Override
  public Integer call() {
    if (arguments.size() < 2) {
      throw new CommandException(ExitStatus.USAGE, "trace takes an id and at least one log file");
    }
    RequestTimeline timeline = new RequestTimeline(arguments.get(0));
    for (String name : arguments.subList(1, arguments.size())) {
      Path file = Path.of(name);
      // ISO 8859-1 decodes any byte, so invalid UTF-8 in a log does not stop the reading of it.
      try (Stream<String> lines = Files.lines(file, StandardCharsets.ISO_8859_1)) {
        lines.forEach(l -> timeline.add(file.getFileName().toString(), l));
      } catch (IOException | UncheckedIOException e) {
        throw new CommandException(ExitStatus.USAGE, "cannot read " + name + ": " + e.getMessage());
      }
    }
    List<String> events = timeline.format();
    if (events.isEmpty()) {
      System.err.println("no line of the files names " + arguments.get(0));
      return ExitStatus.REFUSED;
    }
    events.forEach(System.out::println);
    return ExitStatus.DONE;
  }
}
