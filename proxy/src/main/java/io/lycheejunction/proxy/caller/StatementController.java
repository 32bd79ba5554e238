package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Result;
import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import java.util.Objects;

/** Receives callers' single statements. */
@Controller("/v1/services/{service}/statements")
@ExecuteOn(TaskExecutors.BLOCKING)
public class StatementController {
  private final Coordinator coordinator;
  private final RequestParser parser;
  private final HttpResponseFactory responses;

  /**
   * Creates the controller.
   *
   * @param coordinator executes requests
   * @param parser parses requests
   * @param responses converts answers to HTTP responses
   */
  public StatementController(
      Coordinator coordinator, RequestParser parser, HttpResponseFactory responses) {
    this.coordinator = Objects.requireNonNull(coordinator, "coordinator is null");
    this.parser = Objects.requireNonNull(parser, "parser is null");
    this.responses = Objects.requireNonNull(responses, "responses is null");
  }

  /**
   * Returns the answer to a statement.
   *
   * @param request the HTTP request
   * @param service the name of the service
   * @param body the bytes of the body
   * @return the response
   */
  @Post(consumes = MediaType.ALL, produces = MediaType.APPLICATION_JSON)
  public HttpResponse<?> execute(
      HttpRequest<?> request, @PathVariable String service, @Nullable @Body byte[] body) {
    Result<StatementCall> call =
        parser.statement(
            service, HttpRequestReader.headers(request), HttpRequestReader.bodyOrEmpty(body));
    return call.fold(
        fault -> responses.refused(coordinator.recordRefusal(service, fault)),
        statement ->
            responses.of(
                DisconnectInterrupter.run(request, () -> coordinator.execute(statement)).answer()));
  }
}
