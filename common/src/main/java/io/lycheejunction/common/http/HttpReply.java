package io.lycheejunction.common.http;

import java.util.Objects;
import java.util.Optional;

/** The outcome of an HTTP request. */
public sealed interface HttpReply {

  /**
   * The server sent a complete response.
   *
   * @param status the HTTP status code
   * @param body the complete body, possibly empty
   */
  record Answer(int status, String body) implements HttpReply {
    /** Rejects a null body. */
    public Answer {
      Objects.requireNonNull(body, "body is null");
    }
  }

  /**
   * The connection failed, so the server has not received the request.
   *
   * @param refused true if the server refused the connection, false for a timeout
   * @param detail the error on one line
   */
  record NotSent(boolean refused, String detail) implements HttpReply {}

  /**
   * No complete response arrived; the server may have processed the request.
   *
   * @param detail the error on one line
   */
  record Lost(String detail) implements HttpReply {}

  /**
   * Returns the response body if the status is from 200 to 299.
   *
   * @return the body; empty for other statuses and without a response
   */
  default Optional<String> okBody() {
    return this instanceof Answer(int status, String body) && status / 100 == 2
        ? Optional.of(body)
        : Optional.empty();
  }
}
