package dev.dandelionport.node.request;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.ServerErrorHandler;
import com.linecorp.armeria.server.ServiceConfig;
import com.linecorp.armeria.server.ServiceRequestContext;

/** Gives errors that the HTTP server itself detects the same form as all others. */
public final class ErrorAnswers implements ServerErrorHandler {

  @Override
  public HttpResponse onServiceException(ServiceRequestContext ctx, Throwable cause) {
    return Answers.error(cause);
  }

  @Override
  public AggregatedHttpResponse onProtocolViolation(
      ServiceConfig config,
      RequestHeaders headers,
      HttpStatus status,
      String description,
      Throwable cause) {
    return Answers.errorForStatus(status);
  }

  @Override
  public AggregatedHttpResponse renderStatus(
      ServiceRequestContext ctx,
      ServiceConfig config,
      RequestHeaders headers,
      HttpStatus status,
      String description,
      Throwable cause) {
    return Answers.errorForStatus(status);
  }
}
