package io.lycheejunction.proxy.caller;

import io.micronaut.http.HttpRequest;
import java.util.Optional;

/** Takes the parts that matter from HTTP requests. */
final class Requests {
  private static final byte[] EMPTY = {};

  private Requests() {}

  /**
   * Returns the headers of a request that have a meaning.
   *
   * @param request the request
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
   * @return the bytes
   */
  static byte[] bytes(byte[] body) {
    return body == null ? EMPTY : body;
  }
}
