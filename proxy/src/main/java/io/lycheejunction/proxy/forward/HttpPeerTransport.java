package io.lycheejunction.proxy.forward;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;

/** Sends messages to other proxies as JSON over HTTP. */
public final class HttpPeerTransport implements PeerTransport {
  private final BlockingHttpClient http;
  private final List<String> headers;

  /**
   * Creates a transport.
   *
   * @param http the HTTP client
   * @param headers the names and values of the headers that identify this proxy, alternating
   */
  public HttpPeerTransport(BlockingHttpClient http, List<String> headers) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.headers = List.copyOf(headers);
  }

  @Override
  public <T> Result<T> call(
      Vm peer, String path, Object message, Class<T> replyType, long timeoutMs) {
    HttpReply reply =
        http.send("POST", peer.address(), path, Json.write(message), headers, timeoutMs);
    return switch (reply) {
      case HttpReply.Answer(int status, String body) ->
          Json.read(body, PeerReply.class)
              .fold(
                  fault ->
                      Result.failure(
                          ResultCode.UNKNOWN_OUTCOME,
                          "peer sent a malformed reply envelope with HTTP status " + status),
                  envelope -> envelope.toResult(replyType));
      case HttpReply.NotSent(boolean refused, String detail) ->
          Result.failure(ResultCode.PEER_UNREACHABLE, peer.name() + ": " + detail);
      case HttpReply.Lost(String detail) ->
          Result.failure(ResultCode.UNKNOWN_OUTCOME, peer.name() + ": " + detail);
    };
  }
}
