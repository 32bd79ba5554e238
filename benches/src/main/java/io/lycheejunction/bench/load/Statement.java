package io.lycheejunction.bench.load;

import java.util.Objects;
import java.util.Optional;

/**
 * A statement that a caller sends outside a transaction.
 *
 * @param service the name of the service
 * @param text the text of the statement
 * @param write true if the statement may change data
 * @param key the idempotency key, if any
 * @param token the session token, if the caller has one
 * @param maxAgeMs the maximum accepted age of the data, in milliseconds, if any
 * @param newSession true if the caller declares that it has written nothing before
 * @param timeoutMs the timeout of the statement, in milliseconds
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
   * Returns a write that runs at most once, by its idempotency key.
   *
   * @param service the name of the service
   * @param text the text of the statement
   * @param key the idempotency key
   * @param token the session token, if any
   * @param timeoutMs the timeout of the statement, in milliseconds
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
   * @param maxAgeMs the maximum accepted age of the data, in milliseconds, if any
   * @param timeoutMs the timeout of the statement, in milliseconds
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
