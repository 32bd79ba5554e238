package io.lycheejunction.proxy.target;

import io.lycheejunction.common.http.HttpCaller;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.wire.TargetAnswer;
import io.lycheejunction.common.wire.TargetMessage;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/** Sends messages to instances and checks that each answer belongs to its request. */
final class TargetCalls {
  private final HttpCaller http;
  private final AtomicLong lastId = new AtomicLong();

  TargetCalls(HttpCaller http) {
    this.http = Objects.requireNonNull(http, "http is null");
  }

  /** Returns an identifier for a request. */
  String nextId() {
    return Long.toString(lastId.incrementAndGet(), Character.MAX_RADIX);
  }

  /**
   * Returns the answer to a message.
   *
   * @param target the instance
   * @param message the message
   * @param timeoutMs the time to wait, in milliseconds
   * @return the answer; {@code TARGET_UNREACHABLE} if the message was surely not sent; {@code
   *     UNKNOWN_OUTCOME} if no usable answer came
   */
  Result<TargetAnswer> call(TargetSpec target, TargetMessage message, long timeoutMs) {
    HttpReply reply =
        http.send(
            "POST",
            target.address(),
            TargetMessage.PATH,
            Json.write(message),
            List.of(),
            timeoutMs);
    return switch (reply) {
      case HttpReply.NotSent(boolean refused, String detail) ->
          Result.failure(
              ResultCode.TARGET_UNREACHABLE,
              (refused ? "refused by " : "not sent to ") + target.name() + ": " + detail);
      case HttpReply.Lost(String detail) -> unknown(target, detail);
      case HttpReply.Answer(int status, String body) ->
          Json.read(body, TargetAnswer.class)
              .fold(
                  fault -> unknown(target, "unreadable answer with status " + status),
                  answer -> checked(target, message, answer));
    };
  }

  private static Result<TargetAnswer> checked(
      TargetSpec target, TargetMessage message, TargetAnswer answer) {
    if (!message.correlationId().equals(answer.correlationId())) {
      return unknown(target, "the answer belongs to another request");
    }
    return answer instanceof TargetAnswer.Failed failed
        ? Result.failure(failed.fault())
        : Result.success(answer);
  }

  private static Result<TargetAnswer> unknown(TargetSpec target, String detail) {
    return Result.failure(
        Fault.of(ResultCode.UNKNOWN_OUTCOME, "no answer from " + target.name() + ": " + detail));
  }
}
