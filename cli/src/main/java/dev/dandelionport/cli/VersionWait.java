package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Waits until a manifest version is in force on all members of the cell. The members are taken from
 * the status of an instance, because --url may name only some of them.
 */
final class VersionWait {

  private final ApiClient client;
  private final long version;
  private int memberCount;

  VersionWait(ApiClient client, long version) {
    this.client = client;
    this.version = version;
  }

  /**
   * Waits and returns a message with the elapsed time; throws if a member still lacks the version
   * after {@code seconds}.
   */
  String await(long seconds) {
    long startNanos = System.nanoTime();
    while (true) {
      List<String> lagging = laggingMembers();
      double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
      if (lagging.isEmpty()) {
        return String.format(
            Locale.ROOT,
            "manifest version %d is in force on all %d members, after %.1f s",
            version,
            memberCount,
            elapsedSeconds);
      }
      if (System.nanoTime() - startNanos > TimeUnit.SECONDS.toNanos(seconds)) {
        throw new CommandException(
            ExitStatus.TIMED_OUT,
            "manifest version "
                + version
                + " is committed, but not in force on "
                + String.join(", ", lagging));
      }
      ApiCommand.pause();
    }
  }

  private List<String> laggingMembers() {
    String failure = "";
    for (String url : client.urls()) {
      ApiResponse response = client.getFrom(url, "/v1/operator/status");
      if (response != null && response.ok()) {
        return laggingMembers(response.body());
      }
      failure = response == null ? " (no answer)" : " (status " + response.code() + ")";
    }
    return List.of("the members that the cell lists: no instance tells them" + failure);
  }

  /** Returns the members that lack the version according to the status of one instance. */
  private List<String> laggingMembers(JsonNode status) {
    List<String> lagging = new ArrayList<>();
    JsonNode instances = status.path("instances");
    memberCount = instances.size();
    for (JsonNode i : instances) {
      String id = i.path("id").asText();
      String leaseSuffix = i.path("live").asBoolean() ? "" : ", its lease has ended";
      if (!i.has("manifestVersion")) {
        lagging.add(id + " (does not answer" + leaseSuffix + ")");
      } else if (i.path("manifestVersion").asLong() < version) {
        lagging.add(id + " (has version " + i.path("manifestVersion").asLong() + leaseSuffix + ")");
      }
    }
    if (memberCount == 0) {
      lagging.add(status.path("instance").asText() + ", which lists no member");
    }
    return lagging;
  }
}
