package dev.dandelionport.node.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.util.TimeoutMode;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.engine.InstanceEngine;
import dev.dandelionport.core.engine.JobRouter;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.PeerMessage.InspectAnswer;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.PeerClient;
import dev.dandelionport.core.scheduler.Explanation;
import dev.dandelionport.node.process.EventLog;
import dev.dandelionport.node.process.LogEvent;
import dev.dandelionport.node.process.Settings.OperatorKey;
import dev.dandelionport.node.version.KeyIndex;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * HTTP service for operators under {@code /v1/operator/}: reads, checks and commits the manifest,
 * drains failure domains, reports the status of the cell and explains the state of a job. Each call
 * is logged for audit.
 */
public final class OperatorService implements HttpService {

  private static final String PREFIX = "/v1/operator/";
  private static final Pattern DRAIN_OR_RETURN_PATH =
      Pattern.compile("failure-domains/([a-z0-9-]{1,63})/(drain|return)");
  private static final Pattern EXPLAIN_PATH = Pattern.compile("jobs/([a-z0-9-]{1,63})/(.{1,200})");

  /** Timeout of an operator's call after its body has been received, in milliseconds. */
  private static final long ANSWER_TIMEOUT_MILLIS = 20_000;

  private final InstanceEngine engine;
  private final JobRouter router;
  private final KeyIndex keys;
  private final ManifestCommands manifests;
  private final CellInspector inspector;
  private final CellStatus status;

  /** Creates the service; only calls with one of the keys in {@code operators} are accepted. */
  public OperatorService(
      InstanceEngine engine,
      JobRouter router,
      PeerClient peers,
      KeyValueStore store,
      TimeSource time,
      List<OperatorKey> operators) {
    this.engine = engine;
    this.router = router;
    this.keys =
        new KeyIndex(
            operators.stream()
                .map(o -> new KeyIndex.Entry(o.id(), o.id(), o.salt(), o.hash()))
                .toList());
    this.manifests = new ManifestCommands(store, () -> engine.state().manifest(), time);
    this.inspector = new CellInspector(engine, peers);
    this.status = new CellStatus(engine, inspector);
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest req) {
    String call = req.method() + " " + ctx.path();
    CompletableFuture<ObjectNode> f;
    String operator = "";
    try {
      operator = authenticateOperator(req.headers());
      f = dispatch(ctx, req, operator);
    } catch (RequestException e) {
      f = CompletableFuture.failedFuture(e);
    }
    String caller = operator;
    return HttpResponse.of(
        f.whenComplete((r, e) -> audit(caller, call, r, e))
            .handle((r, e) -> e == null ? Answers.json(HttpStatus.OK, r) : Answers.error(e)));
  }

  private String authenticateOperator(RequestHeaders headers) {
    return CallerAuthorizer.bearerToken(headers)
        .flatMap(keys::owner)
        .orElseThrow(RequestException::unauthorized);
  }

  private void audit(String operator, String call, ObjectNode result, Throwable e) {
    Throwable c = Failures.cause(e);
    if (operator.isEmpty()) {
      EventLog.log(LogEvent.OPERATOR_REFUSED, Map.of("action", call));
    } else if (c == null) {
      long version = result.path("version").asLong(manifestVersion());
      EventLog.log(LogEvent.OPERATOR_CALL, fields(operator, call, version));
    } else if (c instanceof RequestException r && r.status() == HttpStatus.CONFLICT) {
      EventLog.log(LogEvent.OPERATOR_CONFLICT, fields(operator, call, manifestVersion()));
    } else {
      EventLog.log(LogEvent.OPERATOR_INVALID, Map.of("operator", operator, "action", call));
    }
  }

  private static Map<String, Object> fields(String operator, String call, long version) {
    return Map.of("operator", operator, "action", call, "version", version);
  }

  private long manifestVersion() {
    return engine.state().manifest().map(Manifest::version).orElse(0L);
  }

  private CompletableFuture<ObjectNode> dispatch(
      ServiceRequestContext ctx, HttpRequest req, String operator) {
    new QueryParameters(ctx, Set.of());
    String path = ctx.decodedPath().substring(PREFIX.length());
    String call = req.method() + " " + path;
    switch (call) {
      case "GET manifest":
        return readManifest();
      case "PUT manifest":
        return withBody(ctx, req, b -> manifests.commit(b, operator));
      case "POST manifest/check":
        return withBody(ctx, req, manifests::check);
      case "POST manifest/diff":
        return withBody(ctx, req, manifests::diff);
      case "GET status":
        return status.describe();
      default:
        break;
    }
    Matcher domain = DRAIN_OR_RETURN_PATH.matcher(path);
    if (domain.matches() && call.startsWith("POST ")) {
      boolean inService = domain.group(2).equals("return");
      return withBody(
          ctx, req, b -> manifests.setInService(domain.group(1), inService, b, operator));
    }
    Matcher job = EXPLAIN_PATH.matcher(path);
    if (job.matches() && call.startsWith("GET ")) {
      return explain(new JobKey(new TeamId(job.group(1)), job.group(2)));
    }
    throw RequestException.notFound("no such resource or method; docs/OPERATIONS.md lists them");
  }

  private CompletableFuture<ObjectNode> readManifest() {
    return manifests
        .readStoredOrCurrent()
        .thenApply(
            m ->
                Answers.JSON.valueToTree(
                    m.orElseThrow(
                        () -> RequestException.notFound("no manifest has been committed"))));
  }

  private CompletableFuture<ObjectNode> explain(JobKey job) {
    return router
        .status(job, 0)
        .thenCompose(
            r -> {
              if (r.outcome() != JobReply.Outcome.STATUS) {
                throw RequestException.notFound(
                    r.reason().isEmpty() ? "the job is not known" : r.reason());
              }
              Optional<PartitionId> p = engine.homePartition(job);
              ObjectNode n = Answers.JSON.createObjectNode().put("job", job.toString());
              n.put("partition", p.map(Object::toString).orElse(""));
              n.put("state", r.status().phase().name().toLowerCase(Locale.ROOT));
              n.put("reason", r.status().reason());
              n.put("acceptedMillis", r.status().acceptedMillis());
              n.put("startedMillis", r.status().startedMillis());
              n.put("endedMillis", r.status().endedMillis());
              return p.map(x -> inspector.inspectPartition(x, job))
                  .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()))
                  .thenApply(a -> addExplanation(n, a.map(InspectAnswer::explanation)));
            });
  }

  private static ObjectNode addExplanation(ObjectNode n, Optional<Explanation> explanation) {
    explanation.ifPresent(
        e -> {
          n.put("reason", e.reason());
          n.set("running", Answers.JSON.valueToTree(e.running()));
          n.set("rejected", Answers.JSON.valueToTree(e.rejected()));
        });
    return n;
  }

  private static CompletableFuture<ObjectNode> withBody(
      ServiceRequestContext ctx,
      HttpRequest req,
      Function<byte[], CompletableFuture<ObjectNode>> action) {
    return req.aggregate()
        .thenCompose(
            a -> {
              ctx.setRequestTimeoutMillis(TimeoutMode.SET_FROM_NOW, ANSWER_TIMEOUT_MILLIS);
              return action.apply(a.content().array());
            });
  }
}
