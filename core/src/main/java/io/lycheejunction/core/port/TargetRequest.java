package io.lycheejunction.core.port;

import java.util.Objects;
import java.util.Optional;

/**
 * A request to run one statement on an instance.
 *
 * @param correlationId the identifier of the request; an answer with another identifier is
 *     discarded
 * @param term the term in which a write must run; the instance refuses the write in any other term.
 *     Ignored for reads
 * @param access the declared effect of the statement
 * @param statement the text of the statement
 * @param key the idempotency key that is recorded in the same database transaction, if any
 * @param timeoutMs the maximum time to wait for the answer, in milliseconds
 */
public record TargetRequest(
    String correlationId,
    long term,
    Access access,
    String statement,
    Optional<String> key,
    long timeoutMs) {
  /** Rejects null components. */
  public TargetRequest {
    Objects.requireNonNull(correlationId, "correlationId is null");
    Objects.requireNonNull(access, "access is null");
    Objects.requireNonNull(statement, "statement is null");
    Objects.requireNonNull(key, "key is null");
  }
}
