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

/** Answers what is recorded for idempotency keys. */
@Controller("/v1/services/{service}/outcomes")
@ExecuteOn(TaskExecutors.BLOCKING)
public class OutcomeController {
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
  public OutcomeController(
      Coordinator coordinator, RequestParser parser, HttpAnswers answers, CallerLimits limits) {
    this.coordinator = Objects.requireNonNull(coordinator, "coordinator is null");
    this.parser = Objects.requireNonNull(parser, "parser is null");
    this.answers = Objects.requireNonNull(answers, "answers is null");
    this.limits = Objects.requireNonNull(limits, "limits is null");
  }

  /**
   * Returns what is recorded for a key.
   *
   * @param request the whole request
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
                    .session(Requests.headers(request))
                    .map(
                        session ->
                            HangUps.guard(
                                request,
                                () ->
                                    coordinator.outcome(
                                        service, parsed, session, limits.defaultTimeoutMs()))))
        .<HttpResponse<?>>fold(
            fault -> answers.refused(coordinator.refuse(service, fault)),
            outcome -> answers.of(outcome.answer()));
  }
}
