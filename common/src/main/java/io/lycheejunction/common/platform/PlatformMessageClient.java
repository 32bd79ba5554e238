package io.lycheejunction.common.platform;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.wire.PlatformAnswer;
import io.lycheejunction.common.wire.PlatformMessage;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;

/** Sends requests to the platform and checks the type of its answers. */
public final class PlatformMessageClient {
  private final BlockingHttpClient http;
  private final String address;
  private final long timeoutMs;

  /**
   * Creates a client of one platform address.
   *
   * @param http the HTTP client, bound to a local address in the failure domain of the proxy
   * @param address the platform's address as {@code ip:port}
   * @param timeoutMs the time limit of each request, in milliseconds
   */
  public PlatformMessageClient(BlockingHttpClient http, String address, long timeoutMs) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.address = Objects.requireNonNull(address, "address is null");
    this.timeoutMs = timeoutMs;
  }

  /**
   * Returns the answer to a request.
   *
   * @param message the request
   * @param type the expected type of answer
   * @param noAnswerCode the code if the request may have been sent but no valid answer was received
   * @param <T> the expected type of answer
   * @return the answer; the fault that the platform reports; {@code STORE_UNAVAILABLE} if the
   *     platform did not receive the request; or the given code
   */
  <T extends PlatformAnswer> Result<T> call(
      PlatformMessage message, Class<T> type, ResultCode noAnswerCode) {
    HttpReply reply =
        http.send("POST", address, PlatformMessage.PATH, Json.write(message), List.of(), timeoutMs);
    return switch (reply) {
      case HttpReply.NotSent(boolean refused, String detail) ->
          Result.failure(ResultCode.STORE_UNAVAILABLE, detail);
      case HttpReply.Lost(String detail) -> Result.failure(noAnswerCode, detail);
      case HttpReply.Answer(int status, String body) ->
          Json.read(body, PlatformAnswer.class)
              .fold(
                  fault ->
                      Result.failure(
                          noAnswerCode,
                          "unreadable answer of the platform with HTTP status " + status),
                  answer -> castAnswer(answer, type, noAnswerCode));
    };
  }

  private static <T extends PlatformAnswer> Result<T> castAnswer(
      PlatformAnswer answer, Class<T> type, ResultCode noAnswerCode) {
    if (answer instanceof PlatformAnswer.Failed failed) {
      return Result.failure(failed.fault());
    }
    return type.isInstance(answer)
        ? Result.success(type.cast(answer))
        : Result.failure(noAnswerCode, "unexpected type of answer of the platform");
  }
}
