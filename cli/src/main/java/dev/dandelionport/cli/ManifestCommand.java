package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.dandelionport.core.common.JsonProblem;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.ManifestChange;
import dev.dandelionport.core.manifest.ManifestDiff;
import dev.dandelionport.core.manifest.ManifestReader;
import dev.dandelionport.core.manifest.ManifestResult;
import java.time.Instant;
import java.util.List;

/** Commands that show, check, compare and commit manifests. */
abstract class ManifestCommand extends ApiCommand {

  private static final String PATH = "/v1/operator/manifest";

  /** Prints the manifest that is committed in the store. */
  @Command(name = "show", description = "Prints the manifest that the store holds")
  public static final class Show extends ManifestCommand {
    @Override
    public Integer call() {
      System.out.println(api.client().get(PATH).bodyOrThrow().toPrettyString());
      return ExitStatus.DONE;
    }
  }

  /** Checks a manifest locally, or on an instance if one is given. */
  @Command(
      name = "check",
      description =
          "Reports every error of a manifest with its JSON path. With an instance, also checks it"
              + " against the committed version and lists the changes")
  public static final class Check extends ManifestCommand {
    @Arguments(title = "file", description = "The manifest, or - for standard input")
    @Required
    private String file;

    @Override
    public Integer call() {
      byte[] body = read(file);
      JsonNode r =
          api.hasExplicitUrl()
              ? api.client().call("POST", PATH + "/check", body).bodyOrThrow()
              : checkLocally(body);
      boolean valid = r.path("valid").asBoolean();
      print(
          r,
          () -> {
            printProblems(r.path("problems"));
            int n = r.path("problems").size();
            System.out.println(valid ? "valid" : n + (n == 1 ? " error" : " errors"));
            if (r.path("changes").size() > 0) {
              System.out.println("changes from version " + r.path("baseVersion").asLong() + ":");
              printChanges(r.path("changes"));
            }
          });
      return valid ? ExitStatus.DONE : ExitStatus.REFUSED;
    }

    private static JsonNode checkLocally(byte[] body) {
      ManifestResult result = ManifestReader.read(body);
      ObjectNode n = ApiClient.JSON.createObjectNode().put("valid", result.problems().isEmpty());
      ArrayNode list = n.putArray("problems");
      for (JsonProblem p : result.problems()) {
        list.addObject().put("path", p.path()).put("message", p.message());
      }
      return n;
    }
  }

  /** Lists the changes between a manifest and another file or the committed version. */
  @Command(
      name = "diff",
      description = "Lists what a manifest changes, compared with another file or the store's")
  public static final class Diff extends ManifestCommand {
    @Arguments(title = "file", description = "The new manifest; before it, the old one if given")
    @Required
    private List<String> files;

    @Override
    public Integer call() {
      if (files.size() > 2) {
        throw new CommandException(ExitStatus.USAGE, "diff takes one or two files");
      }
      JsonNode r =
          files.size() == 2
              ? diffLocally(parseManifest(files.get(0)), parseManifest(files.get(1)))
              : api.client().call("POST", PATH + "/diff", read(files.get(0))).bodyOrThrow();
      print(
          r,
          () -> {
            int n = r.path("changes").size();
            System.out.println(n + (n == 1 ? " change" : " changes"));
            printChanges(r.path("changes"));
          });
      return ExitStatus.DONE;
    }

    private static Manifest parseManifest(String file) {
      ManifestResult r = ManifestReader.read(read(file));
      return r.manifest()
          .orElseThrow(
              () ->
                  new CommandException(
                      ExitStatus.REFUSED,
                      file
                          + " is not valid:"
                          + String.join("", r.problems().stream().map(p -> "\n  " + p).toList())));
    }

    private static JsonNode diffLocally(Manifest before, Manifest after) {
      ObjectNode n = ApiClient.JSON.createObjectNode().put("baseVersion", before.version());
      ArrayNode list = n.putArray("changes");
      for (ManifestChange c : ManifestDiff.between(before, after)) {
        list.add(ApiClient.JSON.<JsonNode>valueToTree(c));
      }
      return n;
    }
  }

  /** Commits a manifest and waits until all members of the cell apply it. */
  @Command(
      name = "commit",
      description =
          "Commits a manifest if its version follows the committed one, and waits until all"
              + " members of the cell have it")
  public static final class Commit extends ManifestCommand {
    @Arguments(title = "file", description = "The manifest, or - for standard input")
    @Required
    private String file;

    @Option(
        name = "--wait-seconds",
        description = "Longest wait for the members, in seconds; 0 does not wait. Default: 30")
    private long waitSeconds = 30;

    @Override
    public Integer call() {
      ApiClient client = api.client();
      JsonNode r = client.call("PUT", PATH, read(file)).bodyOrThrow();
      print(r, () -> printCommit(r));
      awaitVersion(client, r, waitSeconds);
      return ExitStatus.DONE;
    }
  }

  static void printCommit(JsonNode r) {
    System.out.println(
        "committed version "
            + r.path("version").asLong()
            + " by "
            + r.path("author").asText()
            + " at "
            + Instant.ofEpochMilli(r.path("committedMillis").asLong()));
    printChanges(r.path("changes"));
  }

  /**
   * Waits until a committed version is in force on all members. Prints the result to standard error
   * so that standard output stays valid JSON with --json.
   */
  static void awaitVersion(ApiClient client, JsonNode commit, long seconds) {
    if (seconds > 0) {
      System.err.println(new VersionWait(client, commit.path("version").asLong()).await(seconds));
    }
  }
}
