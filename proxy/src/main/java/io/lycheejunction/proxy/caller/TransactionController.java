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

/** Receives callers' transactions. */
@Controller("/v1/services/{service}/transactions")
@ExecuteOn(TaskExecutors.BLOCKING)
public class TransactionController {
  private final Coordinator coordinator;
  private final RequestParser parser;
  private final HttpAnswers answers;
  private final CallerLimits limits;

  /**
   * Creates the controller.
   *
   * @param coordinator takes requests through their path
   * @param parser reads requests
   * @param answers writes answers
   * @param limits the limits of callers' requests
   */
  public TransactionController(
      Coordinator coordinator, RequestParser parser, HttpAnswers answers, CallerLimits limits) {
    this.coordinator = Objects.requireNonNull(coordinator, "coordinator is null");
    this.parser = Objects.requireNonNull(parser, "parser is null");
    this.answers = Objects.requireNonNull(answers, "answers is null");
    this.limits = Objects.requireNonNull(limits, "limits is null");
  }

  /**
   * Returns the answer to the begin of a transaction, with its identifier.
   *
   * @param request the whole request
   * @param service the name of the service
   * @param body the bytes of the body
   * @return the response
   */
  @Post(consumes = MediaType.ALL, produces = MediaType.APPLICATION_JSON)
  public HttpResponse<?> begin(
      HttpRequest<?> request, @PathVariable String service, @Nullable @Body byte[] body) {
    return parser
        .begin(service, Requests.headers(request), Requests.bytes(body))
        .fold(fault -> refused(service, fault), call -> begin(request, call));
  }

  private HttpResponse<?> begin(HttpRequest<?> request, BeginCall call) {
    HangUps.Outcome outcome = HangUps.guard(request, () -> coordinator.begin(call));
    if (outcome.isGone()) {
      outcome
          .answer()
          .transaction()
          .ifPresent(
              id ->
                  coordinator.rollback(
                      new StepCall(call.service(), id, call.session(), limits.defaultTimeoutMs())));
    }
    return answers.of(outcome.answer());
  }

  /**
   * Returns the answer to a statement in a transaction.
   *
   * @param request the whole request
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
        .step(service, id, Requests.headers(request), Requests.bytes(body))
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
   * @param request the whole request
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
        .end(service, id, Requests.headers(request), Requests.bytes(body))
        .fold(
            fault -> refused(service, fault),
            end -> run(request, end.call(), () -> coordinator.commit(end.call(), end.key())));
  }

  /**
   * Returns the answer to a rollback.
   *
   * @param request the whole request
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
        .end(service, id, Requests.headers(request), Requests.bytes(body))
        .fold(
            fault -> refused(service, fault), end -> answers.of(coordinator.rollback(end.call())));
  }

  private HttpResponse<?> run(HttpRequest<?> request, StepCall call, Supplier<Answer> work) {
    HangUps.Outcome outcome = HangUps.guard(request, work);
    if (outcome.isGone()) {
      coordinator.rollback(call);
    }
    return answers.of(outcome.answer());
  }

  private HttpResponse<?> refused(String service, Fault fault) {
    return answers.refused(coordinator.refuse(service, fault));
  }
}
