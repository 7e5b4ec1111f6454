package dev.dandelionport.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.client.WebClientRequestPreparation;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.MediaType;
import dev.dandelionport.standin.load.LoadOutcome.Verdict;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * Simulates the caller of one request. It starts at any entry instance; after an unknown outcome or
 * a broken connection it sends the same request key to the next instance.
 */
final class LoadCaller {

  /** Time from submit to the deadline of a job, in milliseconds. */
  private static final long DEADLINE_MILLIS = 30_000;

  /** Time after which a request without an outcome counts as lost, in milliseconds. */
  private static final long GIVE_UP_MILLIS = 45_000;

  private static final long WAIT_MILLIS = 5_000;
  private static final long RETRY_MILLIS = 200;
  private static final long POLL_MILLIS = 100;
  private static final int HTTP_OK = 200;
  private static final int HTTP_ACCEPTED = 202;
  private static final int HTTP_BAD_REQUEST = 400;
  private static final int HTTP_UNAUTHORIZED = 401;
  private static final int HTTP_CONFLICT = 409;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final List<WebClient> entries;
  private final String openQueue;
  private final LoadRequest request;
  private int entryIndex;
  private long beginMillis;
  private boolean cancelling;

  LoadCaller(List<WebClient> entries, String openQueue, LoadRequest request) {
    this.entries = entries;
    this.openQueue = openQueue;
    this.request = request;
    this.entryIndex = request.entry();
  }

  /** Submits the request and polls until its outcome is known; returns the outcome. */
  LoadOutcome call() {
    beginMillis = System.currentTimeMillis();
    boolean waitsForAnswer = !request.kind().isCancelled() && request.kind() != LoadKind.FETCHED;
    ObjectNode body =
        request.body(beginMillis + DEADLINE_MILLIS, waitsForAnswer ? WAIT_MILLIS : 0, openQueue);
    String lastAnswer = "no answer";
    boolean accepted = false;
    while (System.currentTimeMillis() < beginMillis + GIVE_UP_MILLIS) {
      AggregatedHttpResponse response = accepted ? pollOrCancel() : submit(body);
      JsonNode content = read(response);
      Optional<LoadOutcome> outcome =
          response == null ? Optional.empty() : finalOutcome(response.status().code(), content);
      if (outcome.isPresent()) {
        return outcome.get();
      }
      lastAnswer = response == null ? "broken connection" : response.status() + " " + content;
      if (response != null && response.status().code() == HTTP_ACCEPTED) {
        // A job submitted without a key has no status query, but the submit can be repeated.
        accepted = request.kind() != LoadKind.OPEN;
        handleAccepted(content);
      } else {
        // The outcome is unknown: retry at the next instance. Repeating the submit is idempotent,
        // but a submit after its deadline is invalid, so from then on only the status is queried.
        accepted =
            request.kind() != LoadKind.OPEN
                && System.currentTimeMillis() > beginMillis + DEADLINE_MILLIS;
        entryIndex++;
        pause(RETRY_MILLIS);
      }
    }
    return outcome(Verdict.LOST, lastAnswer);
  }

  private void handleAccepted(JsonNode content) {
    boolean running = content.path("state").asText().equals("running");
    if (request.kind() == LoadKind.CANCELLED || request.kind() == LoadKind.SERVICE && running) {
      cancelling = true;
    }
    pause(POLL_MILLIS);
  }

  private AggregatedHttpResponse submit(ObjectNode body) {
    return send(client().prepare().post("/v1/jobs").content(MediaType.JSON, body.toString()), true);
  }

  private AggregatedHttpResponse pollOrCancel() {
    String path = "/v1/jobs/" + request.requestKey();
    return cancelling
        ? send(client().prepare().delete(path), false)
        : send(client().prepare().get(path), false);
  }

  private WebClient client() {
    return entries.get(entryIndex % entries.size());
  }

  private AggregatedHttpResponse send(WebClientRequestPreparation preparation, boolean mayOmitKey) {
    try {
      if (!mayOmitKey || request.kind() != LoadKind.OPEN) {
        preparation.header(HttpHeaderNames.AUTHORIZATION, "Bearer " + request.key());
      }
      return preparation.execute().aggregate().join();
    } catch (RuntimeException e) {
      // A broken connection leaves the outcome unknown; the caller retries with the same key.
      return null;
    }
  }

  private Optional<LoadOutcome> finalOutcome(int status, JsonNode content) {
    String state = content.path("state").asText();
    if (content.path("error").asText().equals("not_run") || state.equals("not_run")) {
      return Optional.of(
          outcome(
              Verdict.REFUSED, content.path("message").asText() + content.path("reason").asText()));
    }
    if (status == HTTP_OK) {
      return outcomeOfFinalState(state, content);
    }
    boolean finalError =
        status == HTTP_BAD_REQUEST || status == HTTP_UNAUTHORIZED || status == HTTP_CONFLICT;
    return finalError
        ? Optional.of(outcome(Verdict.LOST, status + " " + content))
        : Optional.empty();
  }

  private Optional<LoadOutcome> outcomeOfFinalState(String state, JsonNode content) {
    if (state.equals("cancelled") && request.kind().isCancelled()) {
      return Optional.of(outcome(Verdict.ANSWERED, ""));
    }
    if (!state.equals("succeeded")) {
      return Optional.of(outcome(Verdict.LOST, "state " + state + ": " + content.path("reason")));
    }
    JsonNode results = content.path("results");
    boolean correct = results.size() == request.kind().tasks;
    for (JsonNode one : results) {
      correct &= one.asText().equals("done " + request.payload());
    }
    return Optional.of(
        correct ? outcome(Verdict.ANSWERED, "") : outcome(Verdict.LOST, "wrong answer " + results));
  }

  private LoadOutcome outcome(Verdict verdict, String reason) {
    return new LoadOutcome(request, verdict, reason, beginMillis, System.currentTimeMillis());
  }

  private static JsonNode read(AggregatedHttpResponse response) {
    try {
      return response == null ? JSON.createObjectNode() : JSON.readTree(response.contentUtf8());
    } catch (IOException e) {
      return JSON.createObjectNode();
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
