package dev.dandelionport.node.request;

import com.linecorp.armeria.common.HttpStatus;
import dev.dandelionport.core.common.JsonProblem;
import java.util.List;

/** Thrown when a request cannot be served; carries the content of the error response. */
final class RequestException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient HttpStatus status;
  private final String code;
  private final String field;
  private final boolean mayRetry;
  private final transient List<JsonProblem> problems;

  RequestException(HttpStatus status, String code, String field, String message, boolean mayRetry) {
    this(status, code, field, message, mayRetry, List.of());
  }

  private RequestException(
      HttpStatus status,
      String code,
      String field,
      String message,
      boolean mayRetry,
      List<JsonProblem> problems) {
    super(message);
    this.status = status;
    this.code = code;
    this.field = field;
    this.mayRetry = mayRetry;
    this.problems = problems;
  }

  /** Returns the exception for an invalid field of a request. */
  static RequestException invalid(String field, String message) {
    return new RequestException(HttpStatus.BAD_REQUEST, "invalid_request", field, message, false);
  }

  /**
   * Returns the exception for a document with errors. The field and message of the response are
   * those of the first error.
   */
  static RequestException invalid(List<JsonProblem> problems) {
    JsonProblem first = problems.get(0);
    String field = first.path().equals("$") ? "" : first.path().substring(2);
    return new RequestException(
        HttpStatus.BAD_REQUEST,
        "invalid_request",
        field,
        (field.isEmpty() ? "the body " : field + " ") + first.message(),
        false,
        problems);
  }

  static RequestException unauthorized() {
    return new RequestException(
        HttpStatus.UNAUTHORIZED, "unauthorized", "Authorization", "the key is not valid", false);
  }

  static RequestException notFound(String message) {
    return new RequestException(HttpStatus.NOT_FOUND, "not_found", "", message, false);
  }

  static RequestException notRun(HttpStatus status, String message) {
    return new RequestException(status, "not_run", "", message, true);
  }

  /** Returns the exception for a request of which it is not known whether its job runs. */
  static RequestException unknown(HttpStatus status, String message) {
    return new RequestException(status, "unknown", "", message, true);
  }

  HttpStatus status() {
    return status;
  }

  String code() {
    return code;
  }

  String field() {
    return field;
  }

  boolean mayRetry() {
    return mayRetry;
  }

  List<JsonProblem> problems() {
    return problems;
  }
}
