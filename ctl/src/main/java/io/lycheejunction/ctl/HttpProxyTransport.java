package io.lycheejunction.ctl;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.http.HttpReply;
import java.util.List;
import java.util.Objects;

/** Sends operator requests to proxies by HTTP. */
final class HttpProxyTransport implements ProxyTransport {
  private static final String PATH = "/v1/operator";

  private final BlockingHttpClient http;
  private final List<String> headers;
  private final long timeoutMs;

  HttpProxyTransport(BlockingHttpClient http, List<String> headers, long timeoutMs) {
    this.http = Objects.requireNonNull(http, "http is null");
    this.headers = List.copyOf(headers);
    this.timeoutMs = timeoutMs;
  }

  @Override
  public HttpReply send(String address, String body) {
    return http.send("POST", address, PATH, body, headers, timeoutMs);
  }
}
