package io.lycheejunction.proxy.target;

import io.lycheejunction.common.http.BlockingHttpClient;
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

/** Sends messages to instances and checks the correlation identifier of each answer. */
final class TargetCalls {
  private final BlockingHttpClient http;
  private final AtomicLong lastId = new AtomicLong();

  TargetCalls(BlockingHttpClient http) {
    this.http = Objects.requireNonNull(http, "http is null");
  }

  /** Returns a new correlation identifier for a request. */
  String nextId() {
    return Long.toString(lastId.incrementAndGet(), Character.MAX_RADIX);
  }

  /**
   * Returns the answer to a message.
   *
   * @param target the instance to call
   * @param message the message to send
   * @param timeoutMs the time to wait, in milliseconds
   * @return the answer; {@code TARGET_UNREACHABLE} if the message was certainly not sent; {@code
   *     UNKNOWN_OUTCOME} if no valid answer arrived; or the fault that the instance returned
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
      case HttpReply.Lost(String detail) -> unknownOutcome(target, detail);
      case HttpReply.Answer(int status, String body) ->
          Json.read(body, TargetAnswer.class)
              .fold(
                  fault -> unknownOutcome(target, "unreadable answer with status " + status),
                  answer -> checkCorrelation(target, message, answer));
    };
  }

  private static Result<TargetAnswer> checkCorrelation(
      TargetSpec target, TargetMessage message, TargetAnswer answer) {
    if (!message.correlationId().equals(answer.correlationId())) {
      return unknownOutcome(target, "the answer belongs to another request");
    }
    return answer instanceof TargetAnswer.Failed failed
        ? Result.failure(failed.fault())
        : Result.success(answer);
  }

  private static Result<TargetAnswer> unknownOutcome(TargetSpec target, String detail) {
    return Result.failure(
        Fault.of(ResultCode.UNKNOWN_OUTCOME, "no answer from " + target.name() + ": " + detail));
  }
}
