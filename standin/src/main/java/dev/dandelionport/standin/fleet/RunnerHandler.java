package dev.dandelionport.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Handles the HTTP requests to all runners and to the advice service, which allows every runner.
 */
final class RunnerHandler {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String EXPECTED_INSTANCE_HEADER = "Dandelionport-Expected-Instance";
  private static final long POLL_INTERVAL_MILLIS = 5;

  private final Map<String, FleetRunner> runners = new HashMap<>();
  private final ScheduledExecutorService executor;
  private final long incarnation;

  RunnerHandler(ScheduledExecutorService executor, long incarnation) {
    this.executor = executor;
    this.incarnation = incarnation;
  }

  void add(String id, RunListener listener) {
    runners.put(id, new FleetRunner(listener));
  }

  /** Handles a request; empty if the path belongs neither to a runner nor to the advice service. */
  Optional<CompletableFuture<Reply>> handle(AggregatedHttpRequest r, String path) {
    JsonNode n = parse(r);
    if (path.equals("/advise")) {
      return completed(advise(n));
    }
    FleetRunner runner = runners.get(r.headers().get(EXPECTED_INSTANCE_HEADER, ""));
    boolean isRunnerPath =
        path.equals("/run-start") || path.equals("/run-stop") || path.equals("/hold");
    if (!isRunnerPath) {
      return Optional.empty();
    }
    if (runner == null) {
      return completed(new Reply(421, "{}"));
    }
    if (runner.isFenced(n.path("fencing-token").asLong())) {
      return completed(refused("fence"));
    }
    String task = n.path("task").asText();
    int run = n.path("run-id").asInt();
    if (path.equals("/run-start")) {
      // The listeners hear of all ends before this start.
      runners.values().forEach(x -> x.endDueRuns(now()));
      Optional<String> refusal =
          runner.start(task, run, n.path("spec").asText(), n.path("until-ms").asLong(), now());
      return completed(refusal.map(RunnerHandler::refused).orElseGet(() -> ok(clockJson())));
    } else if (path.equals("/run-stop")) {
      runner.stop(task, run, now());
      return completed(ok(clockJson()));
    }
    runner.extendLeases(n.path("until-ms").asLong(), n.path("acked-through").asLong(), now());
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    completeWithReport(runner, now() + n.path("wait-ms").asLong(), reply);
    return Optional.of(reply);
  }

  private static Optional<CompletableFuture<Reply>> completed(Reply r) {
    return Optional.of(CompletableFuture.completedFuture(r));
  }

  private void completeWithReport(
      FleetRunner runner, long deadline, CompletableFuture<Reply> reply) {
    runner.endDueRuns(now());
    if (runner.finishedRuns().isEmpty() && now() < deadline) {
      executor.schedule(
          () -> completeWithReport(runner, deadline, reply),
          POLL_INTERVAL_MILLIS,
          TimeUnit.MILLISECONDS);
      return;
    }
    ObjectNode n = clockJson().put("born", incarnation);
    ArrayNode running = n.putArray("running");
    for (FleetRunner.ActiveRun p : runner.activeRuns()) {
      running.addArray().add(p.task()).add(p.run()).add("").add(100).add(0);
    }
    ArrayNode ends = n.putArray("finished");
    for (FleetRunner.FinishedRun e : runner.finishedRuns()) {
      ends.addArray().add(e.number()).add(e.task()).add(e.run()).add(e.outcome()).add("");
    }
    reply.complete(ok(n));
  }

  private static Reply advise(JsonNode n) {
    ObjectNode answer = JSON.createObjectNode().put("valid-ms", 2_000);
    ArrayNode allowed = answer.putArray("allowed");
    n.path("workers").forEach(w -> allowed.addArray().add(w.asText()).add("ticket"));
    return ok(answer);
  }

  private static JsonNode parse(AggregatedHttpRequest r) {
    try {
      return JSON.readTree(r.content().array());
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed body", e);
    }
  }

  private static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static ObjectNode clockJson() {
    return JSON.createObjectNode().put("clock-ms", now());
  }

  private static Reply ok(ObjectNode n) {
    return new Reply(200, n.toString());
  }

  private static Reply refused(String reason) {
    return new Reply(409, clockJson().put("reason", reason).toString());
  }
}
