package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Prints why a job waits, or why it runs on its workers. */
@Command(name = "explain", description = "Explains why a job waits, or runs where it does")
public final class ExplainCommand extends ApiCommand {

  @Arguments(
      title = {"team", "request-key"},
      description = "Team and request key of the job")
  @Required
  private List<String> job;

  @Override
  public Integer call() {
    if (job.size() != 2) {
      throw new CommandException(ExitStatus.USAGE, "explain takes a team and a request key");
    }
    String path =
        "/v1/operator/jobs/"
            + job.get(0)
            + "/"
            + URLEncoder.encode(job.get(1), StandardCharsets.UTF_8);
    JsonNode n = api.client().get(path).bodyOrThrow();
    print(n, () -> printExplanation(n));
    return ExitStatus.DONE;
  }

  private static void printExplanation(JsonNode explanation) {
    System.out.println(
        explanation.path("job").asText()
            + " on partition "
            + explanation.path("partition").asText());
    System.out.println("state:  " + explanation.path("state").asText());
    System.out.println("reason: " + explanation.path("reason").asText());
    for (JsonNode r : explanation.path("running")) {
      System.out.println(
          "  task "
              + r.path("task").asInt()
              + " attempt "
              + r.path("attempt").asInt()
              + " on "
              + r.path("worker").asText()
              + ": "
              + r.path("reason").asText());
    }
    for (JsonNode r : explanation.path("rejected")) {
      System.out.println(
          "  not on " + r.path("worker").asText() + ": " + r.path("reason").asText());
    }
  }
}
