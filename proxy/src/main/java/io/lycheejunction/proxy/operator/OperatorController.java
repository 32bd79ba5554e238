package io.lycheejunction.proxy.operator;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.proxy.access.AccessFilter;
import io.lycheejunction.proxy.access.AccessGate;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import java.util.Optional;

/** Receives operators' statements over HTTP. */
@Controller("/v1/operator")
@ExecuteOn(TaskExecutors.BLOCKING)
public class OperatorController {
  private final OperatorEndpoint operator;
  private final AccessGate gate;

  /**
   * Creates the controller.
   *
   * @param operator runs the statements
   * @param gate checks whether a credential allows a statement
   */
  public OperatorController(OperatorEndpoint operator, AccessGate gate) {
    this.operator = operator;
    this.gate = gate;
  }

  /**
   * Returns the answer to a statement.
   *
   * @param request the HTTP request, which carries the credential
   * @param body the JSON text of the request
   * @return the answer, with the HTTP status of its result code
   */
  @Post(consumes = MediaType.ALL, produces = MediaType.APPLICATION_JSON)
  public HttpResponse<String> run(HttpRequest<?> request, @Body String body) {
    Optional<String> authorization = AccessFilter.authorization(request);
    OperatorReply reply = operator.answer(body, need -> gate.refusal(authorization, need));
    return HttpResponse.<String>status(OperatorEndpoint.httpStatus(reply)).body(Json.write(reply));
  }
}
