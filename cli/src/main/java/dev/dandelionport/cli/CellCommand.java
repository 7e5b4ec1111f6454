package dev.dandelionport.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.LoggerFactory;

/** Runs a whole cell in one process for local experiments. */
@Command(
    name = "cell",
    description = "Runs a stand-in platform and instances in one process, for local experiments")
public final class CellCommand implements Callable<Integer> {

  @Option(name = "--port", description = "First port of the platform. Default: 23790")
  private int port = 23790;

  @Option(name = "--instances", description = "Number of instances, 1 to 9. Default: 3")
  private int instances = 3;

  @Option(name = "--workers", description = "Number of workers, 1 to 90. Default: 12")
  private int workers = 12;

  @Option(
      name = "--dir",
      description = "Folder for keys and manifest. Default: a new temporary folder")
  private String dir;

  @Option(name = "--verbose", description = "Prints the instances' log, not only its warnings")
  private boolean verbose;

  @Override
  public Integer call() throws Exception {
    if (instances < 1 || instances > 9 || workers < 1 || workers > 90) {
      throw new CommandException(
          ExitStatus.USAGE, "--instances must be 1 to 9 and --workers 1 to 90");
    }
    if (!verbose) {
      ((Logger) LoggerFactory.getLogger("dev.dandelionport")).setLevel(Level.WARN);
    }
    Path folder = dir == null ? Files.createTempDirectory("dandelionport-") : Path.of(dir);
    LocalCell cell = new LocalCell(folder, port, instances, workers);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(cell)));
    cell.commitManifest();
    System.out.println("a cell with " + instances + " instances and " + workers + " workers runs");
    System.out.println("  export DANDELIONPORT_URL=" + String.join(",", cell.urls()));
    System.out.println("  operator key: " + cell.keyFile("operator"));
    System.out.println("  team keys:    " + cell.keyFile("bakery") + ", " + cell.keyFile("dryers"));
    System.out.println("  manifest:     " + cell.manifestFile());
    System.out.println("stop it with Ctrl-C");
    new CountDownLatch(1).await();
    return ExitStatus.DONE;
  }

  private static void stop(LocalCell cell) {
    cell.close();
    System.out.flush();
    // Without halt, the JVM would report the signal as exit status 130 or 143 for a planned stop.
    Runtime.getRuntime().halt(ExitStatus.DONE);
  }
}
