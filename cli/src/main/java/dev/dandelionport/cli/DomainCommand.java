package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Commands that take failure domains out of service and bring them back. */
abstract class DomainCommand extends ApiCommand {

  @Arguments(title = "failure-domain", description = "Id of the failure domain")
  @Required
  protected String domain;

  @Option(
      name = "--wait-seconds",
      description =
          "Longest wait, in seconds, for all members of the cell to have the change or, with wait,"
              + " for the failure domain to be empty; 0 does not wait. Default: 30")
  protected long waitSeconds = 30;

  /** Takes a failure domain out of service, so that no new task starts in it. */
  @Command(name = "drain", description = "Takes a failure domain out of service")
  public static final class Drain extends StateChange {
    @Override
    public Integer call() {
      return change("drain");
    }
  }

  /** Brings a failure domain back into service. */
  @Command(name = "return", description = "Brings a failure domain back into service")
  public static final class Return extends StateChange {
    @Override
    public Integer call() {
      return change("return");
    }
  }

  /** Waits until no task runs in a drained failure domain. */
  @Command(
      name = "wait",
      description = "Waits until a drained failure domain runs no task and may be switched off")
  public static final class Wait extends DomainCommand {
    @Override
    public Integer call() {
      ApiClient client = api.client();
      long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
      while (true) {
        JsonNode domainStatus = findDomain(client.get("/v1/operator/status").bodyOrThrow());
        if (domainStatus.path("inService").asBoolean()) {
          throw new CommandException(ExitStatus.REFUSED, domain + " is in service; drain it first");
        }
        if (domainStatus.has("runningTasks") && domainStatus.path("runningTasks").asLong() == 0) {
          print(domainStatus, () -> System.out.println(domain + " runs no task"));
          return ExitStatus.DONE;
        }
        if (System.nanoTime() > deadlineNanos) {
          String running =
              domainStatus.has("runningTasks")
                  ? "still runs " + domainStatus.path("runningTasks").asLong() + " tasks"
                  : "may run tasks: not every partition of its region has answered";
          throw new CommandException(ExitStatus.TIMED_OUT, domain + " " + running);
        }
        pause();
      }
    }

    private JsonNode findDomain(JsonNode status) {
      for (JsonNode d : status.path("failureDomains")) {
        if (d.path("id").asText().equals(domain)) {
          return d;
        }
      }
      throw new CommandException(ExitStatus.REFUSED, "failure domain " + domain + " is not known");
    }
  }

  /** Changes the state of a failure domain if the manifest still has the expected version. */
  abstract static class StateChange extends DomainCommand {

    @Option(
        name = "--base-version",
        description = "Manifest version that the decision is based on. Default: the committed one")
    protected long baseVersion = -1;

    /** Sends the change with the base version, prints the result and waits for the members. */
    protected int change(String action) {
      ApiClient client = api.client();
      long expectedVersion =
          baseVersion >= 0
              ? baseVersion
              : client.get("/v1/operator/manifest").bodyOrThrow().path("version").asLong();
      byte[] body = ("{\"baseVersion\":" + expectedVersion + "}").getBytes(StandardCharsets.UTF_8);
      String path = "/v1/operator/failure-domains/" + domain + "/" + action;
      JsonNode response = client.call("POST", path, body).bodyOrThrow();
      print(
          response,
          () -> {
            if (response.path("committed").asBoolean()) {
              ManifestCommand.printCommit(response);
            } else {
              System.out.println(response.path("message").asText());
            }
          });
      ManifestCommand.awaitVersion(client, response, waitSeconds);
      return ExitStatus.DONE;
    }
  }
}
