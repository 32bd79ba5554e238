package io.lycheejunction.common.http;

import java.util.Objects;
import java.util.Optional;

/** What became of an HTTP request. */
public sealed interface HttpReply {

  /**
   * The server answered.
   *
   * @param status the HTTP status
   * @param body the whole body
   */
  record Answer(int status, String body) implements HttpReply {
    /** Rejects a null body. */
    public Answer {
      Objects.requireNonNull(body, "body is null");
    }
  }

  /**
   * The request was not sent.
   *
   * @param refused true if the server's address refused the connection
   * @param detail one line for a person
   */
  record NotSent(boolean refused, String detail) implements HttpReply {}

  /**
   * The request may have been sent and no whole answer came.
   *
   * @param detail one line for a person
   */
  record Lost(String detail) implements HttpReply {}

  /**
   * Returns the answer's body, if the server answered with a status from 200 to 299.
   *
   * @return the body, or empty
   */
  default Optional<String> okBody() {
    return this instanceof Answer(int status, String body) && status / 100 == 2
        ? Optional.of(body)
        : Optional.empty();
  }
}
