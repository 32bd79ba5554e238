package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.session.TokenCodec;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.types.files.StreamedFile;
import java.io.ByteArrayOutputStream;
import java.util.Objects;

/** Converts answers to HTTP responses. */
public final class HttpResponseFactory {
  private static final int MAX_BUFFERED_CHARS = 65_536;
  private static final int BUFFER_BYTES = 8_192;
  private static final long SECOND_MS = 1_000;

  private final TokenCodec tokens;

  /**
   * Creates the converter.
   *
   * @param tokens encodes session tokens
   */
  public HttpResponseFactory(TokenCodec tokens) {
    this.tokens = Objects.requireNonNull(tokens, "tokens is null");
  }

  /**
   * Returns the response for a request that was refused before its session token was read.
   *
   * @param fault the fault
   * @return the response
   */
  public MutableHttpResponse<?> refused(Fault fault) {
    return of(Answer.of(fault, SessionToken.empty()));
  }

  /**
   * Returns the response for an answer; a large one is streamed row by row.
   *
   * @param answer the answer
   * @return the response
   */
  MutableHttpResponse<?> of(Answer answer) {
    String token = tokens.encode(answer.session());
    MutableHttpResponse<Object> response =
        HttpResponse.status(HttpStatus.valueOf(answer.code().httpStatus()));
    response.header(CallerHeaders.SESSION, token);
    if (answer.retryAfterMs() > 0) {
      long seconds = (answer.retryAfterMs() + SECOND_MS - 1) / SECOND_MS;
      response.header(HttpHeaders.RETRY_AFTER, String.valueOf(seconds));
    }
    response.contentType(MediaType.APPLICATION_JSON_TYPE);
    AnswerStream stream = new AnswerStream(AnswerHead.of(answer, token), answer.rows());
    return isSmall(answer)
        ? response.body(readFully(stream))
        : response.body(new StreamedFile(stream, MediaType.APPLICATION_JSON_TYPE));
  }

  private static byte[] readFully(AnswerStream stream) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    int size = stream.read(buffer, 0, buffer.length);
    while (size > 0) {
      output.write(buffer, 0, size);
      size = stream.read(buffer, 0, buffer.length);
    }
    return output.toByteArray();
  }

  private static boolean isSmall(Answer answer) {
    long chars = 0;
    for (String row : answer.rows()) {
      chars += row.length();
      if (chars > MAX_BUFFERED_CHARS) {
        return false;
      }
    }
    return true;
  }
}
