package io.lycheejunction.common.platform;

import io.lycheejunction.common.http.HttpCaller;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.wire.PlatformAnswer;
import io.lycheejunction.common.wire.PlatformMessage;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;

/** Sends messages to the platform. */
public final class PlatformCalls {
  private final HttpCaller http;
  private final String address;
  private final long timeoutMs;

  /**
   * Creates the calls.
   *
   * @param http the HTTP client, which sends from an address of the proxy's failure domain
   * @param address the platform's address as {@code ip:port}
   * @param timeoutMs the time to wait for each answer, in milliseconds
   */
  public PlatformCalls(HttpCaller http, String address, long timeoutMs) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.address = Objects.requireNonNull(address, "address is null");
    this.timeoutMs = timeoutMs;
  }

  /**
   * Returns the answer to a message.
   *
   * @param message the message
   * @param type the kind of answer that the message has
   * @param lost the code when no usable answer came
   * @param <T> the type of the answer
   * @return the answer, {@code STORE_UNAVAILABLE} or the given code
   */
  <T extends PlatformAnswer> Result<T> call(
      PlatformMessage message, Class<T> type, ResultCode lost) {
    HttpReply reply =
        http.send("POST", address, PlatformMessage.PATH, Json.write(message), List.of(), timeoutMs);
    return switch (reply) {
      case HttpReply.NotSent(boolean refused, String detail) ->
          Result.failure(ResultCode.STORE_UNAVAILABLE, detail);
      case HttpReply.Lost(String detail) -> Result.failure(lost, detail);
      case HttpReply.Answer(int status, String body) ->
          Json.read(body, PlatformAnswer.class)
              .fold(
                  fault -> Result.failure(lost, "unreadable answer with status " + status),
                  answer -> checked(answer, type, lost));
    };
  }

  private static <T extends PlatformAnswer> Result<T> checked(
      PlatformAnswer answer, Class<T> type, ResultCode lost) {
    if (answer instanceof PlatformAnswer.Failed failed) {
      return Result.failure(failed.fault());
    }
    return type.isInstance(answer)
        ? Result.success(type.cast(answer))
        : Result.failure(lost, "unexpected kind of answer");
  }
}
