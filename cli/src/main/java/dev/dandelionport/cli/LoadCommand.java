package dev.dandelionport.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.dandelionport.standin.load.LoadTool;
import java.util.List;
import java.util.concurrent.Callable;

/** Submits generated jobs and checks that none was lost or run twice and no invariant violated. */
@Command(name = "load", description = "Submits jobs and checks that none was lost or run twice")
public final class LoadCommand implements Callable<Integer> {

  @Option(name = "--entries", description = "URLs of entry instances, separated by commas")
  @Required
  private String entries;

  @Option(name = "--platform", description = "URL of the stand-in platform")
  private String platform = "http://127.0.0.1:23790";

  @Option(
      name = "--key-file",
      description =
          "File with the keys to submit with, one on each line. Default: the file that"
              + " DANDELIONPORT_KEY_FILE names")
  private String keyFile;

  @Option(name = "--open-queue", description = "Queue that accepts work without a key")
  private String openQueue = "public";

  @Option(name = "--seconds", description = "Period over which the requests are spread")
  private int seconds = 10;

  @Option(name = "--requests", description = "Number of requests")
  private int requests = 1_000;

  @Option(name = "--callers", description = "Number of callers at the same time")
  private int callers = 64;

  @Option(name = "--seed", description = "Seed of the random choices")
  private long seed = 1;

  @Override
  public Integer call() {
    String file = keyFile != null ? keyFile : System.getenv(ApiOptions.KEY_FILE_VARIABLE);
    if (file == null) {
      throw new CommandException(
          ExitStatus.USAGE, "name a file with keys by --key-file or DANDELIONPORT_KEY_FILE");
    }
    LoadTool.Plan plan =
        new LoadTool.Plan(
            List.of(entries.split(",")),
            platform,
            KeyFiles.lines(file),
            openQueue,
            requests,
            callers,
            seconds,
            seed);
    LoadTool.Result r = new LoadTool(plan).run(System.out);
    return r.lost() == 0 && r.doubled() == 0 && r.violations() == 0 ? 0 : 1;
  }
}
