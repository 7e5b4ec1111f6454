package dev.dandelionport.node.request;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.ServerErrorHandler;
import com.linecorp.armeria.server.ServiceConfig;
import com.linecorp.armeria.server.ServiceRequestContext;

/** Gives errors detected by the HTTP server itself the same JSON form as all other errors. */
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
