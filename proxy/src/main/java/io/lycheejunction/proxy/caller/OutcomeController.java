package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.key.IdempotencyKey;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import java.util.Objects;

/** Serves the recorded outcomes of idempotency keys. */
@Controller("/v1/services/{service}/outcomes")
@ExecuteOn(TaskExecutors.BLOCKING)
public class OutcomeController {
  private final Coordinator coordinator;
  private final RequestParser parser;
  private final HttpResponseFactory responses;
  private final CallerLimits limits;

  /**
   * Creates the controller.
   *
   * @param coordinator executes requests
   * @param parser parses requests
   * @param responses converts answers to HTTP responses
   * @param limits the limits of callers' requests
   */
  public OutcomeController(
      Coordinator coordinator,
      RequestParser parser,
      HttpResponseFactory responses,
      CallerLimits limits) {
    this.coordinator = Objects.requireNonNull(coordinator, "coordinator is null");
    this.parser = Objects.requireNonNull(parser, "parser is null");
    this.responses = Objects.requireNonNull(responses, "responses is null");
    this.limits = Objects.requireNonNull(limits, "limits is null");
  }

  /**
   * Returns the recorded outcome of an idempotency key.
   *
   * @param request the HTTP request
   * @param service the name of the service
   * @param key the text of the key
   * @return the response
   */
  @Get(uri = "/{key}", produces = MediaType.APPLICATION_JSON)
  public HttpResponse<?> outcome(
      HttpRequest<?> request, @PathVariable String service, @PathVariable String key) {
    return IdempotencyKey.parse(key)
        .flatMap(
            parsed ->
                parser
                    .session(HttpRequestReader.headers(request))
                    .map(
                        session ->
                            DisconnectInterrupter.run(
                                request,
                                () ->
                                    coordinator.outcome(
                                        service, parsed, session, limits.defaultTimeoutMs()))))
        .<HttpResponse<?>>fold(
            fault -> responses.refused(coordinator.recordRefusal(service, fault)),
            result -> responses.of(result.answer()));
  }
}
