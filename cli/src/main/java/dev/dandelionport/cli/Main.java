package dev.dandelionport.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import dev.dandelionport.node.process.SettingsException;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

/** Entry point of the {@code dandelionport} program. */
public final class Main {

  private Main() {}

  /** Runs the command that the arguments name and exits with its status. */
  public static void main(String[] args) throws Exception {
    int status = run(args);
    System.out.flush();
    if (status != ExitStatus.DONE) {
      System.exit(status);
    }
  }

  static int run(String[] args) throws Exception {
    Cli<Object> cli = cli();
    try {
      if (Stream.of(args).anyMatch(a -> a.equals("--help") || a.equals("-h"))) {
        return help(cli, args);
      }
      Object command = cli.parse(args);
      if (command instanceof Help<?> h) {
        if (args.length > 0 && !args[0].equals("help")) {
          System.err.println("error: there is no command " + args[0]);
          System.err.println("see: dandelionport help");
          return ExitStatus.USAGE;
        }
        h.run();
        return ExitStatus.DONE;
      }
      return (Integer) ((Callable<?>) command).call();
    } catch (ParseException e) {
      System.err.println("error: " + e.getMessage());
      System.err.println("see: dandelionport help" + commandNames(args));
      return ExitStatus.USAGE;
    } catch (CommandException e) {
      System.err.println("error: " + e.getMessage());
      return e.status();
    } catch (SettingsException e) {
      System.err.println("error: " + e.getMessage());
      return ExitStatus.USAGE;
    }
  }

  private static int help(Cli<Object> cli, String[] args) throws IOException {
    List<String> commandNames =
        Stream.of(args).takeWhile(a -> !a.startsWith("-")).limit(2).toList();
    Help.help(cli.getMetadata(), commandNames, System.out);
    return ExitStatus.DONE;
  }

  /** Returns the names of group and command among the arguments, for a hint. */
  private static String commandNames(String[] args) {
    boolean group =
        args.length > 0 && List.of("manifest", "domain", "job", "key").contains(args[0]);
    return Stream.of(args)
        .takeWhile(a -> !a.startsWith("-"))
        .limit(group ? 2 : 1)
        .map(a -> " " + a)
        .reduce("", String::concat);
  }

  private static Cli<Object> cli() {
    CliBuilder<Object> b = Cli.builder("dandelionport");
    b.withDescription("Schedules the work of teams on the workers of a cell");
    b.withDefaultCommand(Help.class);
    b.withCommand(Help.class);
    b.withCommand(InstanceCommand.class);
    b.withCommand(CellCommand.class);
    b.withCommand(PlatformCommand.class);
    b.withCommand(LoadCommand.class);
    b.withCommand(StatusCommand.class);
    b.withCommand(ExplainCommand.class);
    b.withCommand(TraceCommand.class);
    b.withGroup("manifest")
        .withDescription("Checks, compares, commits and shows manifests")
        .withDefaultCommand(ManifestCommand.Show.class)
        .withCommand(ManifestCommand.Check.class)
        .withCommand(ManifestCommand.Diff.class)
        .withCommand(ManifestCommand.Commit.class)
        .withCommand(ManifestCommand.Show.class);
    b.withGroup("domain")
        .withDescription("Takes failure domains out of service and brings them back")
        .withCommand(DomainCommand.Drain.class)
        .withCommand(DomainCommand.Return.class)
        .withCommand(DomainCommand.Wait.class);
    b.withGroup("job")
        .withDescription("Submits jobs, waits for them, shows and cancels them")
        .withCommand(JobCommand.Submit.class)
        .withCommand(JobCommand.Await.class)
        .withCommand(JobCommand.Show.class)
        .withCommand(JobCommand.Cancel.class);
    b.withGroup("key")
        .withDescription("Makes keys")
        .withCommand(KeyCommand.New.class)
        .withCommand(KeyCommand.Token.class);
    return b.build();
  }
}
