package io.lycheejunction.proxy.operator;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;

/** Receives the statements of operators. */
@Controller("/v1/operator")
@ExecuteOn(TaskExecutors.BLOCKING)
public class OperatorController {
  private final Operator operator;

  /**
   * Creates the controller.
   *
   * @param operator runs the statements
   */
  public OperatorController(Operator operator) {
    this.operator = operator;
  }

  /**
   * Returns the answer to a statement.
   *
   * @param body the JSON text of the request
   * @return the answer, with the HTTP status of its result code
   */
  @Post(consumes = MediaType.ALL, produces = MediaType.APPLICATION_JSON)
  public HttpResponse<String> run(@Body String body) {
    OperatorReply reply = operator.answer(body);
    return HttpResponse.<String>status(Operator.status(reply)).body(Json.write(reply));
  }
}
