package dev.dandelionport.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.dandelionport.node.process.EventLog;
import dev.dandelionport.node.process.LogEvent;
import dev.dandelionport.node.process.Node;
import dev.dandelionport.node.process.SettingsReader;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs an instance until the process receives a termination signal. */
@Command(name = "instance", description = "Runs an instance of the scheduler")
public final class InstanceCommand implements Callable<Integer> {

  /**
   * Timeout of a graceful stop, after which the process exits with an error, in seconds. A stop
   * takes at most 18.5 s; a timeout of 20 s expired on a busy machine.
   */
  private static final long STOP_TIMEOUT_SECONDS = 40;

  @Option(name = "--settings", description = "JSON file with the settings")
  @Required
  private String settings;

  @Override
  public Integer call() throws Exception {
    Node node = new Node(SettingsReader.read(Path.of(settings)));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node)));
    node.start().join();
    new CountDownLatch(1).await();
    return 0;
  }

  private static void stop(Node node) {
    try {
      node.stop().get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (Exception e) {
      EventLog.log(LogEvent.STOP_FAILED, e, Map.of());
      Runtime.getRuntime().halt(1);
    }
    System.out.flush();
    // Without halt, the JVM would exit with status 143 after SIGTERM although the stop was planned.
    Runtime.getRuntime().halt(0);
  }
}
