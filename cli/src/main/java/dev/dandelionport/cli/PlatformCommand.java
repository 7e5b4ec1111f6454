package dev.dandelionport.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import dev.dandelionport.standin.Platform;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

/** Runs the stand-in platform for local tests. */
@Command(name = "platform", description = "Runs a stand-in platform: store, workers, instance list")
public final class PlatformCommand implements Callable<Integer> {

  @Option(name = "--host", description = "IP address to listen on")
  private String host = "127.0.0.1";

  @Option(name = "--port", description = "First port; each worker takes one more")
  private int port = 23790;

  @Option(name = "--workers", description = "Number of workers")
  private int workers = 30;

  @Option(name = "--per-rack", description = "Workers in a rack")
  private int perRack = 8;

  @Option(name = "--region", description = "Region of the workers")
  private String region = "tallinn";

  @Option(name = "--failure-domains", description = "Failure domains, separated by commas")
  private String failureDomains = "fd-a,fd-b,fd-c";

  @Override
  public Integer call() throws Exception {
    Platform.Fleet fleet =
        new Platform.Fleet(
            region,
            List.of(failureDomains.split(",")),
            workers,
            perRack,
            Platform.Fleet.DEFAULT_CAPACITY);
    Platform platform = new Platform(host, port, fleet);
    Runtime.getRuntime().addShutdownHook(new Thread(platform::close));
    System.out.println("platform serves on port " + platform.start());
    new CountDownLatch(1).await();
    return 0;
  }
}
