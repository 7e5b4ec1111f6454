package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Commands that submit, show, await and cancel jobs. */
abstract class JobCommand extends ApiCommand {

  private static final Set<String> SUCCESS_STATES = Set.of("succeeded", "queued", "running");

  /** Longest wait requested in one call, in seconds; an instance allows up to 60. */
  private static final long MAX_CALL_WAIT_SECONDS = 20;

  /** Submits the job described by a JSON file. */
  @Command(
      name = "submit",
      description = "Submits the job that a JSON file describes; docs/API.md lists its fields")
  public static final class Submit extends JobCommand {
    @Arguments(title = "file", description = "The job, or - for standard input")
    @Required
    private String file;

    @Override
    public Integer call() {
      return printJob(api.client().call("POST", "/v1/jobs", read(file)).bodyOrThrow());
    }
  }

  /** Base class of the commands that address a submitted job by its request key. */
  abstract static class ExistingJob extends JobCommand {
    @Arguments(title = "request-key", description = "Request key of the job")
    @Required
    protected String requestKey;

    @Option(name = "--queue", description = "Open queue that the job was submitted to")
    protected String queue = "";

    protected String path(long waitMillis) {
      String path = "/v1/jobs/" + URLEncoder.encode(requestKey, StandardCharsets.UTF_8);
      String queueParameter =
          queue.isEmpty() ? "" : "queue=" + URLEncoder.encode(queue, StandardCharsets.UTF_8);
      String waitParameter = waitMillis == 0 ? "" : "waitMillis=" + waitMillis;
      String separator = queueParameter.isEmpty() || waitParameter.isEmpty() ? "" : "&";
      return queueParameter.isEmpty() && waitParameter.isEmpty()
          ? path
          : path + "?" + queueParameter + separator + waitParameter;
    }
  }

  /** Polls a job until it has ended or the wait time is over. */
  @Command(name = "await", description = "Waits until a job has ended")
  public static final class Await extends ExistingJob {
    @Option(name = "--wait-seconds", description = "Longest wait, in seconds. Default: 300")
    private long waitSeconds = 300;

    @Override
    public Integer call() {
      ApiClient client = api.client();
      long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
      while (true) {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        long waitMillis =
            Math.max(
                1, Math.min(remainingMillis, TimeUnit.SECONDS.toMillis(MAX_CALL_WAIT_SECONDS)));
        JsonNode n = client.get(path(waitMillis)).bodyOrThrow();
        if (n.path("endedMillis").asLong() > 0) {
          return printJob(n);
        }
        if (System.nanoTime() > deadlineNanos) {
          printJob(n);
          return ExitStatus.TIMED_OUT;
        }
      }
    }
  }

  /** Prints the state and results of a job. */
  @Command(name = "show", description = "Shows the state of a job")
  public static final class Show extends ExistingJob {
    @Override
    public Integer call() {
      return printJob(api.client().get(path(0)).bodyOrThrow());
    }
  }

  /** Cancels a job and prints its state. */
  @Command(name = "cancel", description = "Cancels a job")
  public static final class Cancel extends ExistingJob {
    @Override
    public Integer call() {
      printJob(api.client().call("DELETE", path(0), new byte[0]).bodyOrThrow());
      return ExitStatus.DONE;
    }
  }

  /** Prints a job and returns the exit status for its state. */
  protected int printJob(JsonNode n) {
    print(
        n,
        () -> {
          String reason = n.path("reason").asText();
          System.out.println(
              n.path("requestKey").asText()
                  + ": "
                  + n.path("state").asText()
                  + (reason.isEmpty() ? "" : " (" + reason + ")"));
          int i = 0;
          for (JsonNode r : n.path("results")) {
            if (!r.asText().isEmpty()) {
              System.out.println("  task " + i + ": " + r.asText());
            }
            i++;
          }
          if (n.has("token")) {
            System.out.println("  token for the result: " + n.path("token").asText());
          }
        });
    return SUCCESS_STATES.contains(n.path("state").asText()) ? ExitStatus.DONE : ExitStatus.REFUSED;
  }
}
