package io.lycheejunction.proxy.caller;

import java.util.Optional;

/**
 * The body of a request with a statement.
 *
 * @param statement the text of the statement; required
 * @param access {@code read} or {@code write}; required
 * @param idempotent true if the statement may be executed more than once
 * @param maxAgeMs the maximum age of a read's data, in milliseconds
 * @param newSession true if the session has written nothing yet
 * @param timeoutMs the time to the deadline, in milliseconds
 */
record StatementBody(
    Optional<String> statement,
    Optional<String> access,
    Optional<Boolean> idempotent,
    Optional<Long> maxAgeMs,
    Optional<Boolean> newSession,
    Optional<Long> timeoutMs) {}
