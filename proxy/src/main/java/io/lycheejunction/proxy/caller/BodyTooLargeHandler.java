package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.micronaut.context.annotation.Replaces;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.exceptions.ContentLengthExceededException;
import io.micronaut.http.server.exceptions.ContentLengthExceededHandler;
import io.micronaut.http.server.exceptions.ExceptionHandler;
import jakarta.inject.Singleton;
import java.util.Objects;

/** Answers requests whose bodies exceed the size limit of the HTTP server. */
@Singleton
@Produces
@Replaces(ContentLengthExceededHandler.class)
public class BodyTooLargeHandler
    implements ExceptionHandler<ContentLengthExceededException, HttpResponse<?>> {
  private final HttpResponseFactory responses;

  /**
   * Creates the handler.
   *
   * @param responses converts answers to HTTP responses
   */
  public BodyTooLargeHandler(HttpResponseFactory responses) {
    this.responses = Objects.requireNonNull(responses, "responses is null");
  }

  @Override
  public HttpResponse<?> handle(HttpRequest request, ContentLengthExceededException exception) {
    return responses.refused(
        Fault.of(ResultCode.BODY_TOO_LARGE, "the body exceeds the size limit of the HTTP server"));
  }
}
