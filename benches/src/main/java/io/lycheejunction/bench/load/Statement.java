package io.lycheejunction.bench.load;

import java.util.Objects;
import java.util.Optional;

/**
 * A single statement as a caller sends it.
 *
 * @param service the name of the service
 * @param text the text of the statement
 * @param write true if it may change data
 * @param key the idempotency key, if any
 * @param token the session token, if the caller has one
 * @param maxAgeMs the largest accepted age, in milliseconds, if any
 * @param newSession true if the caller declares that it has written nothing before
 * @param timeoutMs the time that the caller waits, in milliseconds
 */
public record Statement(
    String service,
    String text,
    boolean write,
    Optional<String> key,
    Optional<String> token,
    Optional<Long> maxAgeMs,
    boolean newSession,
    long timeoutMs) {
  /** Rejects null components. */
  public Statement {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(text, "text is null");
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(token, "token is null");
    Objects.requireNonNull(maxAgeMs, "maxAgeMs is null");
  }

  /**
   * Returns a write that must run at most once.
   *
   * @param service the name of the service
   * @param text the text of the statement
   * @param key the idempotency key
   * @param token the session token, if any
   * @param timeoutMs the time that the caller waits, in milliseconds
   * @return the statement
   */
  public static Statement write(
      String service, String text, String key, Optional<String> token, long timeoutMs) {
    return new Statement(
        service, text, true, Optional.of(key), token, Optional.empty(), false, timeoutMs);
  }

  /**
   * Returns a read.
   *
   * @param service the name of the service
   * @param text the text of the statement
   * @param token the session token, if any
   * @param maxAgeMs the largest accepted age, in milliseconds, if any
   * @param timeoutMs the time that the caller waits, in milliseconds
   * @return the statement; without a token it declares a new session
   */
  public static Statement read(
      String service,
      String text,
      Optional<String> token,
      Optional<Long> maxAgeMs,
      long timeoutMs) {
    return new Statement(
        service, text, false, Optional.empty(), token, maxAgeMs, token.isEmpty(), timeoutMs);
  }
}
