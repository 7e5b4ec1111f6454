package dev.dandelionport.node.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.util.TimeoutMode;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.engine.InstanceEngine;
import dev.dandelionport.core.engine.JobRouter;
import dev.dandelionport.core.manifest.Queue;
import dev.dandelionport.core.manifest.Team;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.port.Tracing;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.scheduler.JobStatus;
import dev.dandelionport.node.version.ManifestViews;
import java.net.InetAddress;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** HTTP service for callers that submits, queries and cancels jobs, as described in docs/API.md. */
public final class JobService implements HttpService {

  private static final String PREFIX = "/v1/jobs";

  /**
   * Time added to the caller's wait for the request timeout, in milliseconds. The router always
   * answers within it.
   */
  private static final long ANSWER_MARGIN_MILLIS = 20_000;

  private final InstanceEngine engine;
  private final JobRouter router;
  private final Tracing tracing;
  private final TimeSource time;
  private final RequestLimits limits;
  private final RequestAdmission admission;
  private final CallerAuthorizer authorizer;

  /** Creates the service. */
  public JobService(
      InstanceEngine engine,
      JobRouter router,
      ManifestViews views,
      TimeSource time,
      RequestLimits limits,
      Tracing tracing) {
    this.tracing = tracing;
    this.engine = engine;
    this.router = router;
    this.time = time;
    this.limits = limits;
    this.admission = new RequestAdmission(limits);
    this.authorizer = new CallerAuthorizer(views);
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest req) {
    InetAddress client = ctx.clientAddress();
    try {
      admission.admitRequest(client);
    } catch (RequestException e) {
      return Answers.error(e);
    }
    return HttpResponse.of(
        dispatch(ctx, req)
            .handle((r, e) -> e == null ? r : Answers.error(e))
            .whenComplete((r, e) -> admission.releaseRequest(client)));
  }

  private CompletableFuture<HttpResponse> dispatch(ServiceRequestContext ctx, HttpRequest req) {
    try {
      String rest = ctx.path().substring(PREFIX.length());
      if (rest.isEmpty()) {
        if (req.method() != HttpMethod.POST) {
          throw wrongMethod("POST");
        }
        new QueryParameters(ctx, Set.of());
        return receiveSubmission(ctx, req);
      }
      return handleExistingJob(ctx, req.headers());
    } catch (RequestException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<HttpResponse> handleExistingJob(
      ServiceRequestContext ctx, RequestHeaders headers) {
    String key = ctx.decodedPath().substring(PREFIX.length() + 1);
    if (!JobRequestReader.REQUEST_KEY.test(key)) {
      throw RequestException.invalid(
          "requestKey", "requestKey must be " + JobRequestReader.REQUEST_KEY_RULE);
    }
    if (headers.method() == HttpMethod.GET) {
      QueryParameters q = new QueryParameters(ctx, Set.of("waitMillis", "queue"));
      long wait = q.number("waitMillis", JobRequestReader.MAX_WAIT_MILLIS);
      JobKey job = authorizer.authorizeExistingJob(headers, key, q.text("queue"));
      ctx.setRequestTimeoutMillis(TimeoutMode.SET_FROM_NOW, wait + ANSWER_MARGIN_MILLIS);
      return router.status(job, wait).thenApply(r -> jobResponse(r, Optional.empty()));
    }
    if (headers.method() == HttpMethod.DELETE) {
      QueryParameters q = new QueryParameters(ctx, Set.of("queue"));
      JobKey job = authorizer.authorizeExistingJob(headers, key, q.text("queue"));
      ctx.setRequestTimeoutMillis(TimeoutMode.SET_FROM_NOW, ANSWER_MARGIN_MILLIS);
      return router.cancel(job).thenApply(r -> jobResponse(r, Optional.empty()));
    }
    throw wrongMethod("GET or DELETE");
  }

  private CompletableFuture<HttpResponse> receiveSubmission(
      ServiceRequestContext ctx, HttpRequest req) {
    authorizer.rejectInvalidKey(req.headers());
    long declaredBytes = req.headers().contentLength();
    long reservedBytes =
        declaredBytes >= 0 ? Math.min(declaredBytes, limits.bodyBytes()) : limits.bodyBytes();
    admission.reserveBody(reservedBytes);
    return req.aggregate()
        .whenComplete((a, e) -> admission.releaseBody(reservedBytes))
        .thenCompose(a -> submit(ctx, req.headers(), a.content().array()));
  }

  private CompletableFuture<HttpResponse> submit(
      ServiceRequestContext ctx, RequestHeaders headers, byte[] body) {
    JobRequest r = JobRequestReader.read(body, time.wallMillis());
    CallerAuthorizer.Grant g = authorizer.authorizeSubmission(headers, r);
    JobSpec spec = r.toSpec(g.job(), defaultClass(r, g));
    Team team = g.view().team(g.job().team().value()).orElseThrow(RequestException::unauthorized);
    checkTaskSize(spec, team);
    Optional<String> token =
        g.keyless() && !g.queue().orElseThrow().tokenKey().isEmpty()
            ? Optional.of(QueueToken.of(g.queue().orElseThrow(), g.job()))
            : Optional.empty();
    ctx.setRequestTimeoutMillis(TimeoutMode.SET_FROM_NOW, r.waitMillis() + ANSWER_MARGIN_MILLIS);
    Tracing.Span span = tracing.start("entry", TraceHeader.read(headers));
    return router
        .submit(spec, r.waitMillis(), span.traceparent())
        .whenComplete((a, e) -> span.end(e == null && a.outcome() == Outcome.STATUS))
        .thenApply(reply -> jobResponse(reply, token));
  }

  private static WorkloadClass defaultClass(JobRequest r, CallerAuthorizer.Grant g) {
    WorkloadClass c = g.queue().map(Queue::defaultClass).orElse(null);
    if (r.workloadClass() == null && c == null) {
      throw RequestException.invalid(
          "workloadClass",
          "workloadClass must be one of urgent, deferrable, service, gang; it is missing and the"
              + " queue has no default");
    }
    return c;
  }

  private void checkTaskSize(JobSpec spec, Team team) {
    if (spec.workloadClass() == WorkloadClass.GANG && spec.tasks() > team.limit()) {
      throw RequestException.invalid(
          "tasks", "tasks must be at most " + team.limit() + ", the limit of the team, for a gang");
    }
    if (team.homeRegion().equals(engine.self().region())) {
      WorkerCapacityCheck.findViolation(spec.taskSize(), engine.workers())
          .ifPresent(
              e -> {
                throw e;
              });
    }
  }

  private static RequestException wrongMethod(String allowed) {
    return new RequestException(
        HttpStatus.METHOD_NOT_ALLOWED,
        "invalid_request",
        "",
        "the method must be " + allowed,
        false);
  }

  private static HttpResponse jobResponse(JobReply r, Optional<String> token) {
    if (r.outcome() == Outcome.STATUS) {
      HttpStatus status = r.status().phase().isFinal() ? HttpStatus.OK : HttpStatus.ACCEPTED;
      ObjectNode n = statusBody(r.status());
      token.ifPresent(t -> n.put("token", t));
      return Answers.json(status, n);
    }
    throw switch (r.outcome()) {
      case NOT_FOUND -> RequestException.notFound("the job is not known");
      case CONFLICT ->
          new RequestException(
              HttpStatus.CONFLICT,
              "conflict",
              "requestKey",
              "requestKey belongs to an earlier request with other contents",
              false);
      case TOO_LATE ->
          RequestException.invalid("deadlineMillis", "deadlineMillis must be after now");
      case NOT_RUN -> RequestException.notRun(HttpStatus.SERVICE_UNAVAILABLE, r.reason());
      case OVER_LIMIT -> RequestException.notRun(HttpStatus.TOO_MANY_REQUESTS, r.reason());
      default -> outcomeUnknown(r.reason());
    };
  }

  private static RequestException outcomeUnknown(String reason) {
    return RequestException.unknown(HttpStatus.GATEWAY_TIMEOUT, reason);
  }

  private static ObjectNode statusBody(JobStatus s) {
    ObjectNode n = Answers.JSON.createObjectNode();
    n.put("requestKey", CallerAuthorizer.callerRequestKey(s.key()));
    n.put("state", s.phase().name().toLowerCase(Locale.ROOT));
    n.put("reason", s.reason());
    n.put("acceptedMillis", s.acceptedMillis());
    n.put("startedMillis", s.startedMillis());
    n.put("endedMillis", s.endedMillis());
    s.results().forEach(n.putArray("results")::add);
    return n;
  }
}
