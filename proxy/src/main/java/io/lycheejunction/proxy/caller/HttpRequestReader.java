package io.lycheejunction.proxy.caller;

import io.micronaut.http.HttpRequest;
import java.util.Optional;

/** Extracts the relevant headers and the body from HTTP requests. */
final class HttpRequestReader {
  private static final byte[] EMPTY = {};

  private HttpRequestReader() {}

  /**
   * Returns the headers of a request that the proxy evaluates.
   *
   * @param request the HTTP request
   * @return the headers
   */
  static CallerHeaders headers(HttpRequest<?> request) {
    return new CallerHeaders(
        Optional.ofNullable(request.getHeaders().get(CallerHeaders.SESSION)),
        Optional.ofNullable(request.getHeaders().get(CallerHeaders.KEY)));
  }

  /**
   * Returns the bytes of a body.
   *
   * @param body the body, null if the request has none
   * @return the bytes, an empty array if the request has no body
   */
  static byte[] bodyOrEmpty(byte[] body) {
    return body == null ? EMPTY : body;
  }
}
