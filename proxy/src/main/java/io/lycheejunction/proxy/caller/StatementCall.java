package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.session.SessionToken;
import java.util.Objects;
import java.util.Optional;

/**
 * A caller's single statement.
 *
 * @param service the name of the service
 * @param statement the text of the statement
 * @param access the declared effect, read or write
 * @param idempotent true if the caller allows the statement to run more than once
 * @param key the idempotency key, if any
 * @param session the log positions that the session must see
 * @param maxAgeMs the maximum age of a read's data, in milliseconds; empty for the latest data
 * @param timeoutMs the time to the deadline, in milliseconds
 */
public record StatementCall(
    String service,
    String statement,
    Access access,
    boolean idempotent,
    Optional<IdempotencyKey> key,
    SessionToken session,
    Optional<Long> maxAgeMs,
    long timeoutMs) {
  /** Rejects null components. */
  public StatementCall {
    Objects.requireNonNull(service, "service is null");
    Objects.requireNonNull(statement, "statement is null");
    Objects.requireNonNull(access, "access is null");
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(session, "session is null");
    Objects.requireNonNull(maxAgeMs, "maxAgeMs is null");
  }

  /**
   * Returns whether the statement may be sent again after an attempt with an unknown outcome.
   *
   * @return true if a second execution has no further effect
   */
  boolean isRetryable() {
    return access == Access.READ || idempotent || key.isPresent();
  }
}
