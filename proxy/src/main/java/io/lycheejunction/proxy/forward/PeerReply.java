package io.lycheejunction.proxy.forward;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;

/**
 * The JSON envelope of a reply between proxies.
 *
 * @param reply the reply, if the message was handled
 * @param fault the fault, if it was not
 */
record PeerReply(Optional<JsonNode> reply, Optional<Fault> fault) {

  /**
   * Returns the envelope of a handler's result.
   *
   * @param result the result
   * @return the envelope
   */
  static PeerReply of(Result<?> result) {
    return result.fold(
        fault -> new PeerReply(Optional.empty(), Optional.of(fault)),
        value ->
            new PeerReply(Optional.of(Json.MAPPER.<JsonNode>valueToTree(value)), Optional.empty()));
  }

  /**
   * Returns the result that the envelope carries.
   *
   * @param type the class of the reply
   * @param <T> the type of the reply
   * @return the result, or {@code UNKNOWN_OUTCOME} if the envelope is malformed
   */
  <T> Result<T> toResult(Class<T> type) {
    if (fault.isPresent()) {
      return Result.failure(fault.get());
    }
    if (reply.isEmpty()) {
      return Result.failure(
          ResultCode.UNKNOWN_OUTCOME, "peer sent an envelope without reply and fault");
    }
    try {
      return Result.success(Json.MAPPER.convertValue(reply.get(), type));
    } catch (IllegalArgumentException e) {
      return Result.failure(ResultCode.UNKNOWN_OUTCOME, "peer sent a malformed reply");
    }
  }
}
