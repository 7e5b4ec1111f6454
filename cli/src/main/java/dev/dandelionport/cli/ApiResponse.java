package dev.dandelionport.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** Status code and JSON body of an HTTP response from an instance. */
record ApiResponse(int code, JsonNode body) {

  private static final int OK = 200;
  private static final int MULTIPLE_CHOICES = 300;
  private static final int CONFLICT = 409;
  private static final int INTERNAL_ERROR = 500;

  boolean ok() {
    return code >= OK && code < MULTIPLE_CHOICES;
  }

  /**
   * Returns the body of a successful response. Otherwise throws a {@link CommandException} with the
   * message and problems of the error body.
   */
  JsonNode bodyOrThrow() {
    if (ok()) {
      return body;
    }
    StringBuilder message =
        new StringBuilder(body.path("message").asText("the instance answered " + code));
    for (JsonNode p : body.path("problems")) {
      message.append("\n  ").append(p.path("path").asText());
      message.append(": ").append(p.path("message").asText());
    }
    if (body.path("mayRetry").asBoolean()) {
      message.append(" (may be tried again)");
    }
    throw new CommandException(exitStatus(), message.toString());
  }

  private int exitStatus() {
    if (code == CONFLICT) {
      return ExitStatus.CONFLICT;
    }
    String error = body.path("error").asText();
    boolean notExecuted =
        code < INTERNAL_ERROR || error.equals("not_run") || error.equals("unavailable");
    return notExecuted ? ExitStatus.REFUSED : ExitStatus.UNKNOWN;
  }
}
