package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Fault;
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
import java.util.function.Supplier;

/** Receives callers' requests to begin, use and end transactions. */
@Controller("/v1/services/{service}/transactions")
@ExecuteOn(TaskExecutors.BLOCKING)
public class TransactionController {
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
  public TransactionController(
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
   * Begins a transaction; returns the answer with its identifier.
   *
   * @param request the HTTP request
   * @param service the name of the service
   * @param body the bytes of the body
   * @return the response
   */
  @Post(consumes = MediaType.ALL, produces = MediaType.APPLICATION_JSON)
  public HttpResponse<?> begin(
      HttpRequest<?> request, @PathVariable String service, @Nullable @Body byte[] body) {
    return parser
        .begin(service, HttpRequestReader.headers(request), HttpRequestReader.bodyOrEmpty(body))
        .fold(fault -> refused(service, fault), call -> begin(request, call));
  }

  private HttpResponse<?> begin(HttpRequest<?> request, BeginCall call) {
    DisconnectInterrupter.Completion result =
        DisconnectInterrupter.run(request, () -> coordinator.begin(call));
    if (result.isDisconnected()) {
      result
          .answer()
          .transaction()
          .ifPresent(
              id ->
                  coordinator.rollback(
                      new TransactionCall(
                          call.service(), id, call.session(), limits.defaultTimeoutMs())));
    }
    return responses.of(result.answer());
  }

  /**
   * Returns the answer to a statement in a transaction.
   *
   * @param request the HTTP request
   * @param service the name of the service
   * @param id the identifier of the transaction
   * @param body the bytes of the body
   * @return the response
   */
  @Post(uri = "/{id}/statements", consumes = MediaType.ALL, produces = MediaType.APPLICATION_JSON)
  public HttpResponse<?> statement(
      HttpRequest<?> request,
      @PathVariable String service,
      @PathVariable String id,
      @Nullable @Body byte[] body) {
    return parser
        .step(service, id, HttpRequestReader.headers(request), HttpRequestReader.bodyOrEmpty(body))
        .fold(
            fault -> refused(service, fault),
            step ->
                run(
                    request,
                    step.call(),
                    () -> coordinator.step(step.call(), step.access(), step.statement())));
  }

  /**
   * Returns the answer to a commit.
   *
   * @param request the HTTP request
   * @param service the name of the service
   * @param id the identifier of the transaction
   * @param body the bytes of the body
   * @return the response
   */
  @Post(uri = "/{id}/commit", consumes = MediaType.ALL, produces = MediaType.APPLICATION_JSON)
  public HttpResponse<?> commit(
      HttpRequest<?> request,
      @PathVariable String service,
      @PathVariable String id,
      @Nullable @Body byte[] body) {
    return parser
        .end(service, id, HttpRequestReader.headers(request), HttpRequestReader.bodyOrEmpty(body))
        .fold(
            fault -> refused(service, fault),
            end -> run(request, end.call(), () -> coordinator.commit(end.call(), end.key())));
  }

  /**
   * Returns the answer to a rollback.
   *
   * @param request the HTTP request
   * @param service the name of the service
   * @param id the identifier of the transaction
   * @param body the bytes of the body
   * @return the response
   */
  @Post(uri = "/{id}/rollback", consumes = MediaType.ALL, produces = MediaType.APPLICATION_JSON)
  public HttpResponse<?> rollback(
      HttpRequest<?> request,
      @PathVariable String service,
      @PathVariable String id,
      @Nullable @Body byte[] body) {
    return parser
        .end(service, id, HttpRequestReader.headers(request), HttpRequestReader.bodyOrEmpty(body))
        .fold(
            fault -> refused(service, fault),
            end -> responses.of(coordinator.rollback(end.call())));
  }

  private HttpResponse<?> run(HttpRequest<?> request, TransactionCall call, Supplier<Answer> work) {
    DisconnectInterrupter.Completion result = DisconnectInterrupter.run(request, work);
    if (result.isDisconnected()) {
      coordinator.rollback(call);
    }
    return responses.of(result.answer());
  }

  private HttpResponse<?> refused(String service, Fault fault) {
    return responses.refused(coordinator.recordRefusal(service, fault));
  }
}
