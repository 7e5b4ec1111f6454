package dev.dandelionport.node.request;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ClosedSessionException;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseCompleteException;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.stream.ClosedStreamException;
import com.linecorp.armeria.server.HttpStatusException;
import com.linecorp.armeria.server.RequestTimeoutException;
import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.JsonProblem;
import dev.dandelionport.core.port.StoreUnavailableException;
import java.util.List;

/** Builds HTTP responses. All errors have the same JSON form, which docs/API.md describes. */
final class Answers {

  static final ObjectMapper JSON = new ObjectMapper();

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long RETRY_AFTER_SECONDS = 1;

  private Answers() {}

  static HttpResponse json(HttpStatus status, ObjectNode body) {
    return HttpResponse.of(status, MediaType.JSON, body.toString());
  }

  static ArrayNode problems(List<JsonProblem> problems) {
    ArrayNode list = JSON.createArrayNode();
    problems.forEach(p -> list.addObject().put("path", p.path()).put("message", p.message()));
    return list;
  }

  static HttpResponse error(Throwable e) {
    return aggregatedError(e).toHttpResponse();
  }

  static AggregatedHttpResponse aggregatedError(Throwable e) {
    if (e instanceof HttpStatusException x) {
      return errorForStatus(x.httpStatus());
    }
    RequestException r = toRequestException(e);
    ObjectNode body = errorBody(r.code(), r.getMessage(), r.field(), r.mayRetry());
    if (r.problems().size() > 1) {
      body.set("problems", problems(r.problems()));
    }
    return errorResponse(r.status(), body);
  }

  /**
   * Returns the response to a request that the HTTP server rejected before it reached a service.
   */
  static AggregatedHttpResponse errorForStatus(HttpStatus status) {
    return switch (status.code()) {
      case 400 ->
          errorResponse(
              status, errorBody("invalid_request", "the request is malformed", "", false));
      case 404 -> errorResponse(status, errorBody("not_found", "no such resource", "", false));
      case 405 ->
          errorResponse(status, errorBody("invalid_request", "method not allowed", "", false));
      case 408 ->
          errorResponse(status, errorBody("unknown", "the request arrived too slowly", "", true));
      case 413 -> errorResponse(status, errorBody("too_large", "the body is too large", "", false));
      case 414 ->
          errorResponse(status, errorBody("too_large", "the request line is too long", "", false));
      case 431 ->
          errorResponse(status, errorBody("too_large", "the headers are too large", "", false));
      default ->
          status.isServerError()
              ? errorResponse(
                  status, errorBody("unknown", "ask again with the same request key", "", true))
              : errorResponse(
                  status, errorBody("invalid_request", "the request is refused", "", false));
    };
  }

  private static ObjectNode errorBody(String code, String message, String field, boolean mayRetry) {
    return JSON.createObjectNode()
        .put("error", code)
        .put("message", message)
        .put("field", field)
        .put("mayRetry", mayRetry);
  }

  private static AggregatedHttpResponse errorResponse(HttpStatus status, ObjectNode body) {
    ResponseHeadersBuilder h = ResponseHeaders.builder(status).contentType(MediaType.JSON);
    if (status.equals(HttpStatus.TOO_MANY_REQUESTS)) {
      h.setLong(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    return AggregatedHttpResponse.of(h.build(), HttpData.ofUtf8(body.toString()));
  }

  private static RequestException toRequestException(Throwable e) {
    Throwable c = Failures.cause(e);
    if (c instanceof RequestException r) {
      return r;
    }
    if (c instanceof ContentTooLargeException x) {
      String message = "the body must have at most " + x.maxContentLength() + " bytes";
      return new RequestException(
          HttpStatus.REQUEST_ENTITY_TOO_LARGE, "too_large", "", message, false);
    }
    if (c instanceof RequestTimeoutException) {
      String message = "the request arrived too slowly or took too long";
      return new RequestException(HttpStatus.REQUEST_TIMEOUT, "unknown", "", message, true);
    }
    if (c instanceof StoreUnavailableException) {
      String message = "the store does not answer; whether a change took effect is not known";
      return new RequestException(HttpStatus.SERVICE_UNAVAILABLE, "unknown", "", message, true);
    }
    String message = "internal error; ask again with the same request key";
    boolean callerDisconnected =
        c instanceof ClosedStreamException
            || c instanceof ClosedSessionException
            || c instanceof ResponseCompleteException;
    if (!callerDisconnected) {
      LOGGER.atSevere().withCause(c).log("a request failed with an internal error");
    }
    return new RequestException(HttpStatus.INTERNAL_SERVER_ERROR, "unknown", "", message, true);
  }
}
